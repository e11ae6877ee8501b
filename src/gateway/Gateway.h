#pragma once

#include "gateway/CallerConnection.h"
#include "gateway/Exchange.h"
#include "gateway/GatewayCore.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace peridotspool::gateway {

struct GatewayOptions
{
  Address mListen;
  std::size_t mMaxConnections = 3000;
};

/**
 * Takes callers' connections and starts an exchange for each request. Lives on
 * the relay thread.
 */
class Gateway : public CallerConnectionOwner
{
public:
  Gateway(GatewayCore& aCore, GatewayOptions aOptions);

  /** Listens; false with the reason if it can't. */
  bool Start(LastReason& aReason);
  /** About every 100 ms: what was idle, or slow to send, for too long. */
  void Sweep(TimePoint aNow);
  void StopAccepting();
  /** Ends connections without a request under way. */
  void CloseIdle();

  /** No request is served, and callers were sent all that they are owed. */
  bool IsQuiet() const;
  std::size_t Exchanges() const { return mExchanges.size(); }
  std::size_t Connections() const { return mConnections.size(); }

  void OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                 CallerRequest aRequest) override;
  void OnDisconnected(CallerConnection& aConnection) override;
  void OnClosed(CallerConnection& aConnection) override;
  void OnMalformed(unsigned aStatus, const std::string& aReason) override;
  CallerLimits Limits() const override;
  TimePoint Now() const override { return mCore.mNow(); }

private:
  void Accept();

  GatewayCore& mCore;
  GatewayOptions mOptions;
  http::Tcp::acceptor mAcceptor;
  http::net::steady_timer mAcceptTimer;
  std::unordered_map<CallerConnection*, std::shared_ptr<CallerConnection>>
    mConnections;
  std::unordered_map<CallerConnection*, std::shared_ptr<Exchange>> mExchanges;
  TimePoint mSweptAt;
};

} // namespace peridotspool::gateway
