#pragma once

#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <vector>

namespace peridotspool::routing {

/** What changed in an engine's prefix cache; may be late, and may be lost. */
struct CacheReport
{
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  /** Rises by one with each report of one life; a jump is a gap. */
  std::uint64_t mSequence = 0;
  std::vector<std::uint64_t> mAddedBlocks;
  std::vector<std::uint64_t> mRemovedBlocks;

  auto operator<=>(const CacheReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  CacheReport,
  (),
  (mUpstream, mIncarnation, mSequence, mAddedBlocks, mRemovedBlocks))

} // namespace peridotspool::routing
