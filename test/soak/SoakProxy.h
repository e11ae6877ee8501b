#pragma once

#include "soak/SoakNames.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>

namespace peridotspool::soak {

class ProxyLink;

/**
 * All bytes between machines pass through here. What is cut is held back and
 * passes after the cut, as retransmitted packets would; what is silenced never
 * passes again.
 */
class SoakProxy
{
public:
  explicit SoakProxy(const Places& aPlaces);
  ~SoakProxy();
  SoakProxy(const SoakProxy&) = delete;
  SoakProxy& operator=(const SoakProxy&) = delete;

  /** Returns false where an address is taken. */
  bool Start();

  /** Holds back, or lets pass, what one machine sends to another. */
  void Hold(int aFrom, int aTo, bool aHolds);
  /** Holds back each piece that a machine sends or gets for this long. */
  void Delay(int aMachine, Ms aDelay);
  /** Present connections of a machine pass nothing any more; new ones do. */
  void Silence(int aMachine);
  /** Ends all connections of a machine with a reset. */
  void ResetAll(int aMachine);

private:
  friend class ProxyLink;
  using Tcp = boost::asio::ip::tcp;

  void Accept(std::size_t aListener);
  template<typename Step>
  void OnThread(Step aStep);
  template<typename Step>
  void ForLinksOf(int aMachine, Step aStep);

  struct Listener
  {
    Tcp::acceptor mAcceptor;
    Tcp::endpoint mTo;
    int mMachine;
  };

  const Places mPlaces;
  boost::asio::io_context mIo{ 1 };
  std::vector<Listener> mListeners;
  std::list<std::weak_ptr<ProxyLink>> mLinks;
  std::set<std::pair<int, int>> mHeld;
  std::array<Ms, kMachines + 1> mDelays{};
  std::thread mThread;
};

} // namespace peridotspool::soak
