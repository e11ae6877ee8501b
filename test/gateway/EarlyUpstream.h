#pragma once

#include "http/BeastTypes.h"
#include "peridotspool/base/Address.h"

#include <atomic>
#include <string>
#include <thread>

namespace peridotspool::gateway {

/**
 * An upstream that answers each request once it has read the request's head,
 * while the body is still being sent. Serves one connection at a time.
 */
class EarlyUpstream
{
public:
  enum class Then
  {
    /** Resets the connection with the body unread. */
    kReset,
    /** Ends its side in order and reads the rest of the body. */
    kCloseInOrder,
  };

  /** @param aAnswer "{id}" is replaced by the request's id */
  EarlyUpstream(std::string aAnswer, Then aThen);
  ~EarlyUpstream();

  Address Where() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }
  std::size_t Connections() const { return mConnections; }

private:
  void Run();
  void Serve(http::Tcp::socket& aSocket);

  const std::string mAnswer;
  const Then mThen;
  http::net::io_context mIo;
  http::Tcp::acceptor mAcceptor;
  std::atomic<std::size_t> mConnections{ 0 };
  std::thread mThread;
};

/** Returns a body that is longer than what the system takes for an upstream
 * that does not read. */
std::string
LongUpload();

} // namespace peridotspool::gateway
