#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"

#include <compare>
#include <optional>
#include <vector>

namespace peridotspool::gateway {

/** An entry that may keep account of upstreams' load. */
struct Keeper
{
  Address mAddress;
  FailureDomain mDomain;

  auto operator<=>(const Keeper&) const = default;
};

/**
 * Which entry keeps account of which upstream's load: one of the upstream's own
 * failure domain, by rendezvous hashing over an epoch's members. Entries that
 * know the same epoch agree without a message, and a change of members moves
 * only the accounts of those that came or went.
 *
 * Not thread-safe.
 */
class KeeperMap
{
public:
  void Use(std::vector<Keeper> aKeepers) { mKeepers = std::move(aKeepers); }
  /** Returns empty iff there is no keeper at all. */
  std::optional<Address> KeeperOf(const UpstreamName& aUpstream,
                                  const FailureDomain& aDomain) const;

private:
  std::vector<Keeper> mKeepers;
};

} // namespace peridotspool::gateway
