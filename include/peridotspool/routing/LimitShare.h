#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/settings/EffectiveService.h"

#include <map>

namespace peridotspool::routing {

/** Recent demand at each entry as published, in requests per second. */
using PublishedDemand = std::map<MemberId, double>;

/**
 * Returns one entry's share of limits that all entries share. The unused
 * fraction of the rate, at least a tenth, is divided evenly; the rest is
 * divided by published demand. The shares of entries that use the same
 * published demand sum to exactly the limits.
 */
settings::Limits
LimitShare(const settings::Limits& aLimits,
           const PublishedDemand& aPublished,
           MemberId aSelf);

} // namespace peridotspool::routing
