#pragma once

#include "soak/SoakUpstream.h"

#include <atomic>
#include <list>
#include <string>
#include <thread>

namespace peridotspool::hostile {

/** What an upstream sends in place of an answer. */
struct EndlessAnswer
{
  /** "{id}" is replaced by the request's id. */
  std::string mHead;
  /** Sent again and again until the peer closes. */
  std::string mPiece;
};

/** An upstream that announces itself, and whose answers never end. */
class EndlessUpstream
{
public:
  EndlessUpstream(const soak::Places& aPlaces,
                  int aNumber,
                  std::string aService,
                  EndlessAnswer aAnswer);
  ~EndlessUpstream();
  EndlessUpstream(const EndlessUpstream&) = delete;
  EndlessUpstream& operator=(const EndlessUpstream&) = delete;

  /** Returns the requests that it has begun to answer. */
  std::size_t Requests() const { return mRequests; }

private:
  void Beat();
  void Accept();
  void Serve(soak::Wire& aWire);

  const soak::Places mPlaces;
  const int mNumber;
  const std::string mService;
  const EndlessAnswer mAnswer;
  std::atomic<bool> mRunning{ true };
  std::atomic<std::size_t> mRequests{ 0 };
  int mListening = -1;
  std::thread mAccepting;
  std::thread mBeating;
};

} // namespace peridotspool::hostile
