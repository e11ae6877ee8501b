#pragma once

#include "peridotspool/ledger/CommitRule.h"
#include "peridotspool/ledger/PeeringMessage.h"

#include <map>
#include <set>
#include <vector>

namespace peridotspool::ledger {

/** What a new primary knows when it looks for the newest copy. */
struct PeeringInput
{
  CommitRule mRule = CommitRule::kAllReplicas;
  /** The new replica set, the primary (who asks) first. */
  const std::vector<MemberId>& mSet;
  /** All members of the present epoch; others are gone for good. */
  const std::set<MemberId>& mMembers;
  const std::map<MemberId, ShardReport>& mReports;
};

/** From whom to fill; not ready means that more reports are needed. */
struct PeeringChoice
{
  bool mReady = false;
  /** Unset if nobody holds anything. */
  MemberId mSource;
  /** Records may have been committed by members that are all gone. */
  bool mMayMissCommits = false;

  auto operator<=>(const PeeringChoice&) const = default;
};

/**
 * Finds the newest copy that surely has all that was ever committed.
 *
 * A past interval may have committed something unless one of its members says
 * that it was not activated in it, since activation is recorded by all replicas
 * before the first commit.
 */
PeeringChoice
ChooseSource(const PeeringInput& aInput);

} // namespace peridotspool::ledger
