#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"

#include <compare>
#include <optional>
#include <vector>

namespace peridotspool::gateway {

/** An entry that may keep account of upstreams' load. */
struct Coordinator
{
  Address mAddress;
  FailureDomain mDomain;

  auto operator<=>(const Coordinator&) const = default;
};

/**
 * Which entry keeps account of which upstream's load: one of the upstream's own
 * failure domain, by rendezvous hashing over an epoch's members. Entries that
 * know the same epoch agree without a message, and a change of members moves
 * only the accounts of those that came or went.
 *
 * Not thread-safe.
 */
class CoordinatorMap
{
public:
  void Set(std::vector<Coordinator> aCoordinators)
  {
    mCoordinators = std::move(aCoordinators);
  }
  /** Returns empty iff there is no coordinator at all. */
  std::optional<Address> CoordinatorOf(const UpstreamName& aUpstream,
                                       const FailureDomain& aDomain) const;

private:
  std::vector<Coordinator> mCoordinators;
};

} // namespace peridotspool::gateway
