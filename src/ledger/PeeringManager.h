#pragma once

#include "ledger/CopyTransfer.h"
#include "ledger/LedgerContext.h"
#include "ledger/ShardPrimary.h"
#include "peridotspool/membership/EpochMap.h"

namespace peridotspool::ledger {

/**
 * Moves a shard from one interval to the next. The new primary finds the newest
 * copy, fills its own and the replicas' copies, waits until all replicas have
 * recorded the activation, and only then serves.
 */
class PeeringManager
{
public:
  PeeringManager(LedgerContext& aContext,
                 ShardPrimary& aPrimary,
                 CopyTransfer& aTransfer);

  void OnEpoch(const membership::EpochMap& aMap);
  void OnQuery(MemberId aFrom, const QueryMessage& aQuery);
  void OnReport(MemberId aFrom, const ReportMessage& aMessage);
  void OnActivate(MemberId aFrom, const ActivateMessage& aActivate);
  void OnActivated(MemberId aFrom, const ActivatedMessage& aActivated);
  void OnRefused(const RefusedMessage& aRefused);
  void OnRelease(MemberId aFrom, const ReleaseMessage& aRelease);
  /** Called when this entry's copy has been filled. */
  void OnFilled(Shard& aShard);
  void OnTick(Shard& aShard);

private:
  /** Returns true iff a primary's message belongs to the present interval. */
  bool Admit(MemberId aFrom, Shard& aShard, EpochNumber aInterval);
  void BeginInterval(Shard& aShard, EpochNumber aEpoch);
  void RecordPastSet(Shard& aShard,
                     const std::vector<MemberId>& aOldSet,
                     EpochNumber aOldEpoch,
                     bool aContiguous);
  void QueryLikelyHolders(Shard& aShard);
  void Query(Shard& aShard, MemberId aMember);
  void QueryAll(Shard& aShard);
  void TryChoose(Shard& aShard);
  void Activate(Shard& aShard);
  void MarkMayHaveRun(Shard& aShard);
  void RequestActivation(Shard& aShard, MemberId aMember);
  void RecordAndReply(Shard& aShard);
  void Release(Shard& aShard, MemberId aMember, const ShardReport& aReport);

  LedgerContext& mContext;
  ShardPrimary& mPrimary;
  CopyTransfer& mTransfer;
};

} // namespace peridotspool::ledger
