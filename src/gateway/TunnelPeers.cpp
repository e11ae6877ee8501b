#include "peridotspool/gateway/TunnelPeers.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace peridotspool::gateway {

namespace {

constexpr Duration kMinAvoidTime = std::chrono::milliseconds(500);
constexpr std::size_t kMaxDoublings = 3;
/** Cost of crossing failure domains, in tunnels: a near entry gets this many
 * more than one elsewhere. */
constexpr std::size_t kOtherDomainCost = 4;

std::uint64_t
OrderOf(const Address& aPeer, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(
    aPeer.mHost.data(), aPeer.mHost.size(), aSeed + aPeer.mPort);
}

// These say something about the upstream rather than about the other entry.
bool
IsUpstreamsFault(TunnelFailure aFailure)
{
  return aFailure == TunnelFailure::kUnknownUpstream ||
         aFailure == TunnelFailure::kUpstreamResting ||
         aFailure == TunnelFailure::kUpstreamRefused;
}

} // namespace

void
TunnelPeers::Set(const std::vector<Coordinator>& aPeers,
                 const FailureDomain& aOwnDomain)
{
  std::map<Address, Peer> peers;
  for (const Coordinator& peer : aPeers) {
    const auto known = mPeers.find(peer.mAddress);
    Peer& added = peers[peer.mAddress];
    added = known == mPeers.end() ? Peer{} : known->second;
    added.mIsNear = peer.mDomain == aOwnDomain;
    added.mOrder = OrderOf(peer.mAddress, mSeed);
  }
  mPeers = std::move(peers);
}

bool
TunnelPeers::HasTunnels() const
{
  return std::any_of(mPeers.begin(), mPeers.end(), [](const auto& aPair) {
    return aPair.second.mTunnels > 0;
  });
}

std::optional<Address>
TunnelPeers::Choose(const std::set<Address>& aTried, TimePoint aNow) const
{
  std::optional<Address> best;
  std::tuple<TimePoint, std::size_t, std::uint64_t> bestCost;
  for (const auto& [address, peer] : mPeers) {
    if (aTried.contains(address)) {
      continue;
    }
    const std::tuple cost(std::max(peer.mAvoidUntil, aNow),
                          peer.mTunnels + (peer.mIsNear ? 0 : kOtherDomainCost),
                          peer.mOrder);
    if (!best || cost < bestCost) {
      best = address;
      bestCost = cost;
    }
  }
  return best;
}

void
TunnelPeers::RecordOpened(const Address& aPeer)
{
  const auto peer = mPeers.find(aPeer);
  if (peer != mPeers.end()) {
    ++peer->second.mTunnels;
  }
}

void
TunnelPeers::RecordClosed(const Address& aPeer)
{
  const auto peer = mPeers.find(aPeer);
  if (peer != mPeers.end() && peer->second.mTunnels > 0) {
    --peer->second.mTunnels;
  }
}

void
TunnelPeers::RecordFailure(const Address& aPeer,
                           TunnelFailure aFailure,
                           TimePoint aNow)
{
  const auto found = mPeers.find(aPeer);
  if (found == mPeers.end() || IsUpstreamsFault(aFailure)) {
    return;
  }
  Peer& peer = found->second;
  const std::size_t doublings = std::min(peer.mFailures, kMaxDoublings);
  ++peer.mFailures;
  peer.mAvoidUntil = aNow + kMinAvoidTime * (std::int64_t{ 1 } << doublings);
}

void
TunnelPeers::RecordEstablished(const Address& aPeer)
{
  const auto peer = mPeers.find(aPeer);
  if (peer != mPeers.end()) {
    peer->second.mFailures = 0;
    peer->second.mAvoidUntil = TimePoint();
  }
}

} // namespace peridotspool::gateway
