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
  MemberId id;
  EntryName name;
  Region region;
  FailureDomain domain;
  /** Where other processes of the system reach it. */
  Address peerAddress;
  /** Where callers reach it. */
  Address callerAddress;
  MemberState state = MemberState::kActive;

  auto operator<=>(const Member&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  Member,
  (),
  (id, name, region, domain, peerAddress, callerAddress, state))

} // namespace peridotspool::membership
