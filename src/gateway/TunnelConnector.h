#pragma once

#include "http/BeastTypes.h"
#include "peridotspool/base/Address.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/TunnelProtocol.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridotspool::gateway {

/** Opens one tunnel through another entry. */
class TunnelConnector : public std::enable_shared_from_this<TunnelConnector>
{
public:
  /** Called once, unless cancelled; with the socket iff there is no failure. */
  using Callback =
    std::function<void(std::optional<TunnelFailure>, http::Tcp::socket)>;

  TunnelConnector(http::net::io_context& aIo, Callback aOnDone);

  /** @param aSourceHost address to connect from; empty for any */
  void Open(const Address& aTunnelServer,
            const std::string& aSourceHost,
            const DialTarget& aTarget,
            Duration aTimeout);
  /** Closes the connection without calling back. */
  void Cancel();

private:
  void WriteRequest();
  void ReadResponse();
  void Finish(const std::optional<TunnelFailure>& aFailure);

  http::Tcp::socket mSocket;
  http::net::steady_timer mTimer;
  Callback mOnDone;
  std::string mRequest;
  std::string mResponse;
};

} // namespace peridotspool::gateway
