#pragma once

#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>

namespace peridotspool::limits {

/** To a coordinator: an upstream has stated that it is brittle. From a
 * coordinator: the same, with the load of the upstream. */
struct BrittleState
{
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  /** Rejections in a second that the upstream survives. */
  std::uint32_t mMaxRejections = 0;
  /** Time since it was stated. */
  std::uint32_t mAgeMs = 0;
  /** Nothing is to be sent to the upstream for this time. */
  std::uint32_t mClosedMs = 0;

  auto operator<=>(const BrittleState&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  BrittleState,
  (),
  (mUpstream, mIncarnation, mMaxRejections, mAgeMs, mClosedMs))

} // namespace peridotspool::limits
