#pragma once

#include "peridotspool/membership/Member.h"

#include <vector>

namespace peridotspool::membership {

/**
 * The member list of one epoch. Only a committed entry of the control log
 * makes one, so all processes that know an epoch's number know the same list.
 */
struct EpochMap
{
  EpochNumber epoch;
  /** Ordered by MemberId. */
  std::vector<Member> members;

  auto operator<=>(const EpochMap&) const = default;
};
BOOST_DESCRIBE_STRUCT(EpochMap, (), (epoch, members))

} // namespace peridotspool::membership
