// This entry's path to the upstreams, and its loss.

#include "gateway/GatewayCore.h"

namespace peridotspool::gateway {

namespace {

using observe::CounterId;
using observe::EventId;
using routing::UpstreamPath;

/** Upstreams that are tried at once to find out whether any is reached. */
constexpr std::size_t kProbedUpstreams = 2;

} // namespace

void
GatewayCore::TickUpstreamPath()
{
  const TimePoint now = mNow();
  if (!mUpstreamPath.StartProbe(now)) {
    return;
  }
  for (const DialTarget& target : mSelector.SampleReady(
         kProbedUpstreams, ++mLastProbe, mUpstreamPath.Failed(), now)) {
    mCounters.Add(CounterId::kUpstreamProbed);
    mDialer.Probe(target);
  }
}

void
GatewayCore::OnUpstreamPathChanged()
{
  const bool isPartitioned = mUpstreamPath.Path() == UpstreamPath::kPartitioned;
  const routing::UpstreamPathFacts facts = mUpstreamPath.Facts(mNow());
  constexpr Duration kNever = std::chrono::milliseconds(-1);
  mCounters.Set(CounterId::kUpstreamPathLost, isPartitioned ? 1 : 0);
  mLogger.Log(isPartitioned ? EventId::kUpstreamPathLost
                            : EventId::kUpstreamPathRegained,
              { { "last_connected_ms", facts.mSinceConnected.value_or(kNever) },
                { "last_received_ms", facts.mSinceReceived.value_or(kNever) },
                { "unreachable", facts.mFailedUpstreams },
                { "idle_connections", mPool.Size() } });
  mSelector.ClearEjections();
  mPool.RemoveIf([&](const UpstreamConnection& aConnection) {
    return isPartitioned ? !IsUsable(aConnection)
                         : aConnection.RelayingPeer() != nullptr;
  });
}

bool
GatewayCore::IsUsable(const UpstreamConnection& aConnection) const
{
  return aConnection.RelayingPeer() != nullptr ||
         mUpstreamPath.IsTrusted(aConnection.ActiveAt());
}

// An entry that leaves closes its idle tunnels after a while. A request that
// crosses that would be lost.
void
GatewayCore::SetTunnelPeers(const std::vector<Coordinator>& aPeers,
                            const FailureDomain& aOwnDomain)
{
  mTunnelPeers->Set(aPeers, aOwnDomain);
  mPool.RemoveIf([&](const UpstreamConnection& aConnection) {
    const Address* const peer = aConnection.RelayingPeer();
    return peer != nullptr && !mTunnelPeers->Contains(*peer);
  });
}

} // namespace peridotspool::gateway
