#pragma once

#include "gateway/ConnectionAcceptor.h"
#include "gateway/GatewayCore.h"
#include "gateway/Tunnel.h"
#include "peridotspool/base/LastReason.h"

#include <list>
#include <memory>

namespace peridotspool::gateway {

struct TunnelServerOptions
{
  Address mListen;
  /** Each tunnel takes two descriptors. */
  std::size_t mMaxTunnels = 512;
};

/**
 * Relays connections of partitioned entries to upstreams. Only upstreams that
 * this entry knows and reaches itself can be the other end, so that tunnels
 * never lead through two entries. Used on the relay thread only.
 */
class TunnelServer : public TunnelOwner
{
public:
  TunnelServer(GatewayCore& aCore, TunnelServerOptions aOptions);

  /** Starts listening; returns false and sets the reason on failure. */
  bool Start(LastReason& aReason);
  /** Closes idle tunnels and keeps the others alive; called every 50 ms. */
  void Sweep(TimePoint aNow);
  /** An upstream wants no more requests from this entry: its tunnels carry what
   * has begun and nothing further. */
  void Retire(const UpstreamName& aUpstream);
  /** Returns true iff no tunnel is in use. */
  bool IsQuiet() const { return mTunnels.empty(); }
  Address Listening() const { return mAcceptor.Listening(); }

  TunnelDecision Decide(const DialTarget& aTarget) override;
  void OnConnected(const DialTarget& aTarget) override;
  TunnelFailure OnConnectFailed(const DialTarget& aTarget,
                                TunnelFailure aFailure) override;
  std::string SourceHost() const override;
  TimePoint Now() const override { return mCore.mNow(); }

private:
  void OnConnection(http::Tcp::socket aSocket);

  GatewayCore& mCore;
  TunnelServerOptions mOptions;
  ConnectionAcceptor mAcceptor;
  std::list<std::shared_ptr<Tunnel>> mTunnels;
};

} // namespace peridotspool::gateway
