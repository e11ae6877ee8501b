#pragma once

#include "ledger/CopyTransfer.h"
#include "ledger/LedgerContext.h"
#include "ledger/ShardPrimary.h"
#include "peridotspool/membership/EpochMap.h"

namespace peridotspool::ledger {

/**
 * Takes a shard from one interval to the next: the new primary finds the
 * newest copy, fills its own and the replicas', has the activation recorded by
 * all of them, and only then serves.
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
  /** This entry's copy has been filled. */
  void OnFilled(Shard& aShard);
  void OnTick(Shard& aShard);

private:
  /** Whether a primary's message is of the present interval. */
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
