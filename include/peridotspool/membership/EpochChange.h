#pragma once

#include "peridotspool/membership/EpochMap.h"

#include <boost/describe/class.hpp>
#include <vector>

namespace peridotspool::membership {

/** What an epoch changes in the member list of the one before it. */
struct EpochChange
{
  /** The epoch that this change makes. */
  EpochNumber mEpoch;
  std::vector<Member> mAdded;
  std::vector<MemberId> mDraining;
  std::vector<MemberId> mRemoved;

  auto operator<=>(const EpochChange&) const = default;
};
BOOST_DESCRIBE_STRUCT(EpochChange, (), (mEpoch, mAdded, mDraining, mRemoved))

/** Changes the map of the epoch before into that of aChange.mEpoch. */
void
ApplyChange(EpochMap& aMap, const EpochChange& aChange);

} // namespace peridotspool::membership
