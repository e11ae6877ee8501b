#pragma once

#include "peridotspool/base/Ids.h"

#include <cstddef>
#include <vector>

namespace peridotspool::routing {

/**
 * Number of entries that receive an upstream's announcements; all, if there are
 * fewer.
 */
inline constexpr std::size_t kMaxAnnouncementTargets = 16;

/**
 * Returns the entries that receive an upstream's announcements, ordered by id.
 * The result is the same at every entry with the same members. When a member
 * joins or leaves, at most one target of an upstream changes.
 */
std::vector<MemberId>
AnnouncementTargets(const UpstreamName& aUpstream,
                    const std::vector<MemberId>& aMembers);

} // namespace peridotspool::routing
