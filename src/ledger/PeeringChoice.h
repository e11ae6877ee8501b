#pragma once

#include "peridotspool/ledger/CommitRule.h"
#include "peridotspool/ledger/PeeringMessage.h"

#include <map>
#include <set>
#include <vector>

namespace peridotspool::ledger {

/** Input for a new primary's search for the newest copy. */
struct PeeringInput
{
  CommitRule mRule = CommitRule::kAllReplicas;
  /** The new replica set, the querying primary first. */
  const std::vector<MemberId>& mSet;
  /** All members of the present epoch. Others never return. */
  const std::set<MemberId>& mMembers;
  const std::map<MemberId, ShardReport>& mReports;
};

/**
 * The member to fill the copy from. If mReady is false, more reports are
 * needed.
 */
struct PeeringChoice
{
  bool mReady = false;
  /** Unset if no member holds a copy. */
  MemberId mSource;
  /** True iff records may have been committed by members that have all left. */
  bool mMayMissCommits = false;

  auto operator<=>(const PeeringChoice&) const = default;
};

/**
 * Finds the newest copy that certainly contains all committed operations.
 *
 * A past interval may have committed operations unless one of its members
 * reports that it was not activated in it, because all replicas record the
 * activation before the first commit.
 */
PeeringChoice
ChooseSource(const PeeringInput& aInput);

} // namespace peridotspool::ledger
