#pragma once

#include "fakes/support/Json.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace peridotspool::test {

/** An upstream that sends an answer without end to each call. */
class EndlessUpstream
{
public:
  /** Returns the part of a number, from 0, of the answer to a call. */
  using Part = std::function<std::string(const boost::json::object& aCall,
                                         std::uint64_t aNumber)>;

  EndlessUpstream(std::string aHead, Part aPart);
  /** Closes all connections. */
  ~EndlessUpstream();
  EndlessUpstream(const EndlessUpstream&) = delete;
  EndlessUpstream& operator=(const EndlessUpstream&) = delete;

  /** Returns the address in "host:port". */
  std::string Where() const;
  std::size_t Calls() const { return mCalls; }

private:
  using Tcp = boost::asio::ip::tcp;

  void Accept();
  void Serve(Tcp::socket& aSocket);

  const std::string mHead;
  const Part mPart;
  boost::asio::io_context mIo;
  Tcp::acceptor mAcceptor;
  std::vector<std::shared_ptr<Tcp::socket>> mSockets;
  std::vector<std::thread> mServing;
  std::atomic<std::size_t> mCalls{ 0 };
  std::atomic<bool> mStopping{ false };
  std::thread mAccepting;
};

} // namespace peridotspool::test
