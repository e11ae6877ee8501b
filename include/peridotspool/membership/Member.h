#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <compare>

namespace peridotspool::membership {

enum class MemberState
{
  /** Holds ledger shards and takes callers. */
  kActive,
  /** Leaving: takes no new shards or callers, still hands over what it has. */
  kDraining,
};
BOOST_DESCRIBE_ENUM(MemberState, kActive, kDraining)

/** One entry process as the control log knows it. */
struct Member
{
  MemberId mId;
  EntryName mName;
  Region mRegion;
  FailureDomain mDomain;
  /** Where other processes of the system reach it. */
  Address mPeerAddress;
  /** Where callers reach it. */
  Address mCallerAddress;
  MemberState mState = MemberState::kActive;

  auto operator<=>(const Member&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  Member,
  (),
  (mId, mName, mRegion, mDomain, mPeerAddress, mCallerAddress, mState))

} // namespace peridotspool::membership
