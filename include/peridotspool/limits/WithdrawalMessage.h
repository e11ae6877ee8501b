#pragma once

#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>

namespace peridotspool::limits {

/**
 * To an entry that relays a connection: the upstream, which saw that entry as
 * the sender, has asked for rest or has stated that it leaves.
 */
struct WithdrawalReport
{
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  /** How much rest; 0 for none. */
  std::uint32_t mRestMs = 0;
  bool mLeaves = false;

  auto operator<=>(const WithdrawalReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(WithdrawalReport,
                      (),
                      (mUpstream, mIncarnation, mRestMs, mLeaves))

} // namespace peridotspool::limits
