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
  EpochNumber mEpoch;
  /** Ordered by MemberId. */
  std::vector<Member> mMembers;

  auto operator<=>(const EpochMap&) const = default;
};
BOOST_DESCRIBE_STRUCT(EpochMap, (), (mEpoch, mMembers))

} // namespace peridotspool::membership
