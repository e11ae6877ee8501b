#pragma once

#include "peridotspool/membership/EpochMap.h"

#include <boost/describe/class.hpp>
#include <vector>

namespace peridotspool::membership {

/** Difference between the member lists of an epoch and its predecessor. */
struct EpochChange
{
  /** The epoch that results from this change. */
  EpochNumber mEpoch;
  std::vector<Member> mAdded;
  std::vector<MemberId> mDraining;
  std::vector<MemberId> mRemoved;

  auto operator<=>(const EpochChange&) const = default;
};
BOOST_DESCRIBE_STRUCT(EpochChange, (), (mEpoch, mAdded, mDraining, mRemoved))

/**
 * Updates aMap to the epoch aChange.mEpoch. aMap must be the map of the
 * preceding epoch.
 */
void
ApplyChange(EpochMap& aMap, const EpochChange& aChange);

} // namespace peridotspool::membership
