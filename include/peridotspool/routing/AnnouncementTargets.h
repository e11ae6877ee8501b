#pragma once

#include "peridotspool/base/Ids.h"

#include <cstddef>
#include <vector>

namespace peridotspool::routing {

/** Entries that get an upstream's announcements; with fewer, all do. */
inline constexpr std::size_t kMaxAnnouncementTargets = 16;

/**
 * Returns the entries that need an upstream's announcements, ordered by id:
 * the same at every entry that knows the same members. When a member joins or
 * leaves, at most one target of an upstream changes.
 */
std::vector<MemberId>
AnnouncementTargets(const UpstreamName& aUpstream,
                    const std::vector<MemberId>& aMembers);

} // namespace peridotspool::routing
