#include "gateway/TunnelServer.h"

#include <utility>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;

/** Longer than idle connections to upstreams are kept. */
constexpr Duration kMaxIdle = std::chrono::seconds(30);
/** A tunnel that carries a request is not idle for longer than this. */
constexpr Duration kMaxIdleStopping = std::chrono::seconds(2);

} // namespace

TunnelServer::TunnelServer(GatewayCore& aCore, TunnelServerOptions aOptions)
  : mCore(aCore)
  , mOptions(std::move(aOptions))
  , mAcceptor(aCore.mIo, [this](http::Tcp::socket aSocket) {
    OnConnection(std::move(aSocket));
  })
{
  aCore.mOnWithdrawn = [this](const UpstreamName& aUpstream) {
    Retire(aUpstream);
  };
}

void
TunnelServer::Retire(const UpstreamName& aUpstream)
{
  for (const auto& tunnel : mTunnels) {
    if (tunnel->Upstream() == aUpstream) {
      tunnel->Retire();
    }
  }
}

bool
TunnelServer::Start(LastReason& aReason)
{
  return mAcceptor.Start(mOptions.mListen, aReason);
}

void
TunnelServer::OnConnection(http::Tcp::socket aSocket)
{
  if (mTunnels.size() < mOptions.mMaxTunnels) {
    mTunnels.push_back(std::make_shared<Tunnel>(std::move(aSocket), *this));
    mTunnels.back()->Run();
  }
}

TunnelDecision
TunnelServer::Decide(const DialTarget& aTarget)
{
  if (mCore.mStopping) {
    return TunnelFailure::kPeerBusy;
  }
  if (mCore.mUpstreamPath.Path() == routing::UpstreamPath::kPartitioned) {
    mCore.mCounters.Add(CounterId::kTunnelRefused);
    return TunnelFailure::kPeerPartitioned;
  }
  const auto address =
    mCore.mSelector.ReadyAddress(aTarget.mName, aTarget.mIncarnation);
  if (!address) {
    mCore.mCounters.Add(CounterId::kTunnelRefused);
    return TunnelFailure::kUnknownUpstream;
  }
  if (!mCore.mSelector.MayReceive(
        aTarget.mName, aTarget.mIncarnation, mCore.mNow())) {
    mCore.mCounters.Add(CounterId::kTunnelRefused);
    return TunnelFailure::kUpstreamResting;
  }
  mCore.mCounters.Add(CounterId::kTunnelRelayed);
  return *address;
}

void
TunnelServer::OnConnected(const DialTarget& aTarget)
{
  mCore.mDialer.RecordConnected(aTarget.mName);
}

// Entries that are partitioned alike would otherwise confirm to each other that
// the upstream has failed.
TunnelFailure
TunnelServer::OnConnectFailed(const DialTarget& aTarget, TunnelFailure aFailure)
{
  mCore.mUpstreamPath.RecordConnectFailed(aTarget.mName);
  return mCore.mUpstreamPath.IsSuspect() ? TunnelFailure::kPeerPartitioned
                                         : aFailure;
}

std::string
TunnelServer::SourceHost() const
{
  return mCore.mDialer.SourceHost();
}

void
TunnelServer::Sweep(TimePoint aNow)
{
  const Duration maxIdle = mCore.mStopping ? kMaxIdleStopping : kMaxIdle;
  mTunnels.remove_if([&](const std::shared_ptr<Tunnel>& aTunnel) {
    if (aNow - aTunnel->ActiveAt() >= maxIdle) {
      aTunnel->Close();
    }
    aTunnel->KeepAlive(aNow);
    return aTunnel->IsClosed();
  });
}

} // namespace peridotspool::gateway
