#pragma once

#include "ledger/PeeringRound.h"
#include "ledger/PrimaryQueue.h"
#include "ledger/RecordStore.h"
#include "ledger/ShardFill.h"
#include "ledger/ShardLog.h"
#include "peridotspool/ledger/Message.h"

#include <map>
#include <optional>
#include <vector>

namespace peridotspool::ledger {

/** One entry's state for one shard, whether or not it holds a copy. */
struct Shard
{
  ShardId mId;

  /** The replica set of the present epoch, the primary first. */
  std::vector<MemberId> mSet;
  /** The present interval. Messages of earlier intervals are rejected. */
  EpochNumber mInterval;

  /**
   * The interval in which this copy was last activated; unset if this entry
   * holds no copy.
   */
  EpochNumber mActivated;
  std::vector<MemberId> mActivatedSet;
  RecordStore mStore;
  ShardLog mLog;
  /** Until this time an unknown key may belong to a lost request. */
  TimePoint mLossUntil;

  /** Replica sets after mActivated and before the present interval. */
  std::vector<PastSet> mLater;
  bool mLaterIsComplete = true;
  std::optional<PastSet> mVanished;

  /** Set while this entry, as primary, is peering. */
  std::optional<PeeringRound> mRound;
  /** Set while this entry fills its copy from another member's copy. */
  std::optional<ShardFill> mFill;
  /** True while this entry serves operations as primary. */
  bool mServing = false;
  PrimaryQueue mQueue;
  /**
   * Operations that this replica received before an operation with a lower
   * sequence number.
   */
  std::map<SequenceNumber, ReplicateMessage> mOutOfOrder;
  /** When to report a copy outside the replica set to the primary next. */
  TimePoint mNextLeftover;

  bool HoldsCopy() const { return mActivated.IsSet(); }
  bool IsActive() const { return HoldsCopy() && mActivated == mInterval; }
  MemberId Primary() const { return mSet.empty() ? MemberId() : mSet.front(); }
  bool Includes(MemberId aMember) const;
};

/** Records that the copy is complete and counts in the present interval. */
void
RecordActivation(Shard& aShard);

/** Drops a copy that is no longer needed. */
void
DropCopy(Shard& aShard);

/**
 * Returns the report on this entry's copy of the shard and its earlier replica
 * sets.
 */
ShardReport
ReportOf(const Shard& aShard, TimePoint aNow);

} // namespace peridotspool::ledger
