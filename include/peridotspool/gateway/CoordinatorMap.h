#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"

#include <compare>
#include <optional>
#include <vector>

namespace peridotspool::gateway {

/** An entry that can act as load coordinator for upstreams. */
struct Coordinator
{
  Address mAddress;
  FailureDomain mDomain;

  auto operator<=>(const Coordinator&) const = default;
};

/**
 * Assigns each upstream a load coordinator: an entry of the upstream's own
 * failure domain, or of any domain if that one has none, selected by rendezvous
 * hashing over the members of an epoch. Entries that know the same epoch agree
 * without exchanging messages. When the membership changes, only the upstreams
 * of the added or removed entries move.
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
  /** Returns empty iff there are no coordinators. */
  std::optional<Address> CoordinatorOf(const UpstreamName& aUpstream,
                                       const FailureDomain& aDomain) const;

private:
  std::vector<Coordinator> mCoordinators;
};

} // namespace peridotspool::gateway
