#pragma once

#include "ledger/LedgerContext.h"
#include "ledger/PrimaryDuty.h"
#include "ledger/TransferDuty.h"
#include "peridotspool/membership/EpochMap.h"

namespace peridotspool::ledger {

/**
 * Takes a shard from one interval to the next: the new primary finds the
 * newest copy, fills its own and the replicas', has the activation recorded by
 * all of them, and only then serves.
 */
class PeeringDuty
{
public:
  PeeringDuty(LedgerContext& aContext,
              PrimaryDuty& aPrimary,
              TransferDuty& aTransfer);

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
  void NotePast(Shard& aShard,
                const std::vector<MemberId>& aOldSet,
                EpochNumber aOldEpoch,
                bool aContiguous);
  void AskLikelyHolders(Shard& aShard);
  void Ask(Shard& aShard, MemberId aMember);
  void AskAll(Shard& aShard);
  void TryChoose(Shard& aShard);
  void Activate(Shard& aShard);
  void MarkMayHaveRun(Shard& aShard);
  void AskActivation(Shard& aShard, MemberId aMember);
  void RecordAndAnswer(Shard& aShard);
  void Release(Shard& aShard, MemberId aMember, const ShardReport& aReport);

  LedgerContext& mContext;
  PrimaryDuty& mPrimary;
  TransferDuty& mTransfer;
};

} // namespace peridotspool::ledger
