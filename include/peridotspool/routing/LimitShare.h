#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/settings/EffectiveService.h"

#include <map>

namespace peridotspool::routing {

/** What each entry was asked for lately, requests a second, as published. */
using PublishedDemand = std::map<MemberId, double>;

/**
 * Returns one entry's part of limits that all entries share: what
 * nobody asks for, at least a tenth, is divided evenly, the rest by published
 * demand. Entries that use the same
 * published demand get parts that sum to exactly the limits.
 */
settings::Limits
LimitShare(const settings::Limits& aLimits,
           const PublishedDemand& aPublished,
           MemberId aSelf);

} // namespace peridotspool::routing
