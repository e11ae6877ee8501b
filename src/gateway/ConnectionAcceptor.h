#pragma once

#include "http/BeastTypes.h"
#include "peridotspool/base/Address.h"
#include "peridotspool/base/LastReason.h"

#include <functional>

namespace peridotspool::gateway {

/** Listens at one address and accepts connections until it is closed. */
class ConnectionAcceptor
{
public:
  using Handler = std::function<void(http::Tcp::socket)>;

  ConnectionAcceptor(http::net::io_context& aIo, Handler aOnConnection);

  /** Starts listening; returns false and sets the reason on failure. */
  bool Start(const Address& aListen, LastReason& aReason);
  void Close();
  /** The address in use; valid after Start. */
  Address Listening() const;

private:
  void Accept();

  http::Tcp::acceptor mAcceptor;
  http::net::steady_timer mBackoffTimer;
  Handler mOnConnection;
};

} // namespace peridotspool::gateway
