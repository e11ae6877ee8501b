#pragma once

#include "peridotspool/membership/Member.h"

#include <vector>

namespace peridotspool::membership {

/**
 * The member list of one epoch. Epochs are created only by committed entries of
 * the control log, so all processes that know an epoch's number have the same
 * list for it.
 */
struct EpochMap
{
  EpochNumber mEpoch;
  /** Sorted by MemberId. */
  std::vector<Member> mMembers;

  auto operator<=>(const EpochMap&) const = default;
};
BOOST_DESCRIBE_STRUCT(EpochMap, (), (mEpoch, mMembers))

} // namespace peridotspool::membership
