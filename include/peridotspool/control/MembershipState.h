#pragma once

#include "peridotspool/membership/EntryNonce.h"
#include "peridotspool/membership/EpochChange.h"

#include <boost/describe/class.hpp>
#include <map>
#include <vector>

namespace peridotspool::control {

/** The replicated member list with its latest epochs. */
struct MembershipState
{
  membership::EpochMap mCurrent;
  /** The oldest epoch kept; mChanges lead from it to mCurrent. */
  membership::EpochMap mOldest;
  std::vector<membership::EpochChange> mChanges;
  /** The processes behind the current members. */
  std::map<membership::EntryNonce, MemberId> mNonces;
  /** Processes removed lately; a late heartbeat must not revive them. */
  std::vector<membership::EntryNonce> mRemovedNonces;
  MemberId mLastMember;

  auto operator<=>(const MembershipState&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  MembershipState,
  (),
  (mCurrent, mOldest, mChanges, mNonces, mRemovedNonces, mLastMember))

} // namespace peridotspool::control
