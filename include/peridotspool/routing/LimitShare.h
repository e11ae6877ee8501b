#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/settings/EffectiveService.h"

#include <map>

namespace peridotspool::routing {

/** What each entry was asked for lately, requests a second, as published. */
using PublishedDemand = std::map<MemberId, double>;

/**
 * Returns one entry's part of limits that all entries share. Of a rate, an
 * entry has its published demand and an even part of what nobody asks for; when
 * more is asked for than there is, a tenth evenly and the rest by demand. Of
 * the requests under way, half evenly and half by demand. Entries that use the
 * same published demand get parts that sum to exactly the limits.
 */
settings::Limits
LimitShare(const settings::Limits& aLimits,
           const PublishedDemand& aPublished,
           MemberId aSelf);

} // namespace peridotspool::routing
