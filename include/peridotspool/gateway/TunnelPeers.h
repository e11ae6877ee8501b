#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/CoordinatorMap.h"
#include "peridotspool/gateway/TunnelFailure.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace peridotspool::gateway {

/**
 * Chooses the entries that relay connections of this entry. Those that did not
 * fail lately come first, then those with fewer tunnels of this entry; each
 * entry has an order of its own, so that the tunnels of a partitioned failure
 * domain are spread over all entries that still reach the upstreams.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class TunnelPeers
{
public:
  /** @param aSeed random; gives this entry an order of its own */
  explicit TunnelPeers(std::uint64_t aSeed)
    : mSeed(aSeed)
  {
  }

  /** Sets the other entries, by the addresses at which processes reach them.
   */
  void Set(const std::vector<Coordinator>& aPeers,
           const FailureDomain& aOwnDomain);
  bool Contains(const Address& aPeer) const { return mPeers.contains(aPeer); }
  /** Returns true iff this entry has tunnels, or is opening some. */
  bool HasTunnels() const;
  bool IsEmpty() const { return mPeers.empty(); }

  /** Returns empty iff all entries have been tried. */
  std::optional<Address> Choose(const std::set<Address>& aTried,
                                TimePoint aNow) const;
  void RecordOpened(const Address& aPeer);
  void RecordClosed(const Address& aPeer);
  void RecordFailure(const Address& aPeer,
                     TunnelFailure aFailure,
                     TimePoint aNow);
  void RecordEstablished(const Address& aPeer);

private:
  struct Peer
  {
    bool mIsNear = false;
    std::uint64_t mOrder = 0;
    /** Tunnels of this entry, established or being established. */
    std::size_t mTunnels = 0;
    std::size_t mFailures = 0;
    TimePoint mAvoidUntil;
  };

  std::uint64_t mSeed;
  std::map<Address, Peer> mPeers;
};

} // namespace peridotspool::gateway
