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

/** One shard as one entry sees it, whether it holds a copy or not. */
struct Shard
{
  ShardId mId;

  /** The replica set of the present epoch, the primary first. */
  std::vector<MemberId> mSet;
  /** Messages of earlier intervals are refused. */
  EpochNumber mInterval;

  /** The interval that this copy was last activated in; unset: no copy. */
  EpochNumber mActivated;
  std::vector<MemberId> mActivatedSet;
  RecordStore mStore;
  ShardLog mLog;
  /** Until then an unknown key may name a lost request. */
  TimePoint mLossUntil;

  /** Sets in charge after mActivated and before the present interval. */
  std::vector<PastSet> mLater;
  bool mLaterIsComplete = true;
  std::optional<PastSet> mVanished;

  /** Set while this entry, as primary, takes charge. */
  std::optional<PeeringRound> mRound;
  /** Set while this entry fills its copy from another's. */
  std::optional<ShardFill> mFill;
  /** True while this entry, as primary, serves operations. */
  bool mServing = false;
  PrimaryQueue mQueue;
  /** Operations that came before an earlier one, as replica. */
  std::map<SequenceNumber, ReplicateMessage> mOutOfOrder;
  /** When to offer a copy that is no longer needed next. */
  TimePoint mNextLeftover;

  bool HoldsCopy() const { return mActivated.IsSet(); }
  bool IsActive() const { return HoldsCopy() && mActivated == mInterval; }
  MemberId Primary() const { return mSet.empty() ? MemberId() : mSet.front(); }
  bool Includes(MemberId aMember) const;
};

/** Records that the copy is whole and counts in the present interval. */
void
RecordActivation(Shard& aShard);

/** Drops a copy that is no longer needed. */
void
DropCopy(Shard& aShard);

/** Returns what this entry holds of the shard and knows of its past. */
ShardReport
ReportOf(const Shard& aShard, TimePoint aNow);

} // namespace peridotspool::ledger
