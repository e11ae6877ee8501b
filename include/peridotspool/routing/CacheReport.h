#pragma once

#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <vector>

namespace peridotspool::routing {

/** Changes of an engine's prefix cache. Reports may arrive late or be lost. */
struct CacheReport
{
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  /**
   * Increases by one with each report of one incarnation; a larger step shows
   * that reports were lost.
   */
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
