#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <compare>

namespace peridotspool::membership {

/** Whether a member accepts new work. */
enum class MemberState
{
  /** Holds ledger shards and serves callers. */
  kActive,
  /** Leaving: accepts no new shards or callers and hands over what it holds. */
  kDraining,
};
BOOST_DESCRIBE_ENUM(MemberState, kActive, kDraining)

/** An entry process as recorded in the control log. */
struct Member
{
  MemberId mId;
  EntryName mName;
  Region mRegion;
  FailureDomain mDomain;
  /** Address for other processes of the system. */
  Address mPeerAddress;
  /** Address for callers. */
  Address mCallerAddress;
  MemberState mState = MemberState::kActive;

  auto operator<=>(const Member&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  Member,
  (),
  (mId, mName, mRegion, mDomain, mPeerAddress, mCallerAddress, mState))

} // namespace peridotspool::membership
