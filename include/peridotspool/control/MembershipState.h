#pragma once

#include "peridotspool/membership/EntryNonce.h"
#include "peridotspool/membership/EpochChange.h"

#include <boost/describe/class.hpp>
#include <map>
#include <vector>

namespace peridotspool::control {

/** The replicated member list and its latest epochs. */
struct MembershipState
{
  membership::EpochMap mCurrent;
  /** The oldest retained epoch; mChanges lead from it to mCurrent. */
  membership::EpochMap mOldest;
  std::vector<membership::EpochChange> mChanges;
  /** The processes of the current members. */
  std::map<membership::EntryNonce, MemberId> mNonces;
  /**
   * Recently removed processes; a delayed heartbeat must not make them members
   * again.
   */
  std::vector<membership::EntryNonce> mRemovedNonces;
  MemberId mLastMember;

  auto operator<=>(const MembershipState&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  MembershipState,
  (),
  (mCurrent, mOldest, mChanges, mNonces, mRemovedNonces, mLastMember))

} // namespace peridotspool::control
