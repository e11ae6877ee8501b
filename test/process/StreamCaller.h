#pragma once

#include "fakes/support/LoadRequest.h"
#include "peridotspool/base/Address.h"
#include "peridotspool/http/HttpClient.h"

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace peridotspool::test {

/**
 * The caller of one streamed request. It checks each piece as it comes and
 * attaches again, with the last id that it saw, where the test tells it to.
 */
class StreamCaller
{
public:
  StreamCaller(std::string aKey, std::string aPrompt, std::uint64_t aTokens);

  /** Sends the request, or attaches if it was accepted before. */
  void Connect(const Address& aEntry);
  /** Waits until so many bytes of the answer are here; fails the test else. */
  void WaitForBytes(std::size_t aBytes);
  /** Connects to the entries in turn until the request has ended. */
  void FollowToEnd(const std::vector<Address>& aEntries);
  /** As above until so many bytes of the answer are here. */
  void FollowToBytes(std::size_t aBytes, const std::vector<Address>& aEntries);
  /** Fails the test unless the answer is the whole and only the right one. */
  void RequireWholeAnswer();

  std::string Text() const;
  std::string Outcome() const;
  /** The final event's path: "entry", "upstream" and "attempt". */
  fakes::json::object Path() const;
  /** How often the answer began anew. */
  int Restarts() const;

private:
  void OnEvent(http::ClientCallId aCall, const http::CallEvent& aEvent);
  void OnSseEvent(const http::SseEvent& aEvent);
  void TakeRefusal();
  http::HttpRequest Request() const;
  bool IsConnected() const;
  /** Connects in turn until aIsEnough; returns false if that takes too long. */
  bool Follow(const std::vector<Address>& aEntries,
              const std::function<bool()>& aIsEnough);

  mutable std::mutex mMutex;
  fakes::LoadRequest mRequest;
  fakes::json::object mFinal;
  int mRestarts = 0;
  bool mConnected = false;
  http::ClientCallId mCall = 0;
  http::HttpClient mClient;
};

} // namespace peridotspool::test
