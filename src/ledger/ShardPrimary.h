#pragma once

#include "ledger/AnswerSink.h"
#include "ledger/LedgerContext.h"
#include "ledger/RecordRules.h"

namespace peridotspool::ledger {

/**
 * Orders a shard's operations, replicates them and answers them once committed.
 */
class ShardPrimary
{
public:
  ShardPrimary(LedgerContext& aContext, AnswerSink aLocalAnswer);

  /** Processes an operation, or queues it while peering is in progress. */
  void Propose(Shard& aShard, WaitingOperation aOperation);
  void OnAck(MemberId aFrom, const AckMessage& aAck);
  /** Starts to serve. Called when all replicas have recorded the activation. */
  void Serve(Shard& aShard);
  /**
   * Announces unfinished requests whose executor has left the member list or is
   * draining.
   */
  void AnnounceOrphans(Shard& aShard);
  void OnTick(Shard& aShard);

private:
  RuleResult EvaluateAtPrimary(const Shard& aShard,
                               const WaitingOperation& aOperation);
  bool IsFull(const Shard& aShard,
              const RequestKey& aKey,
              const AcceptOperation& aAccept) const;
  void Append(Shard& aShard,
              const WaitingOperation& aOperation,
              const RuleResult& aResult);
  void Replicate(const Shard& aShard,
                 MemberId aTo,
                 const PendingOperation& aPending);
  void Commit(Shard& aShard);
  void Answer(Shard& aShard, PendingOperation& aPending);
  void Resend(Shard& aShard);
  void Announce(Shard& aShard, const RequestKey& aKey, TimePoint aNextAlarm);
  void WatchExecutor(Shard& aShard, const RequestKey& aKey);
  void AnnounceOverdue(Shard& aShard);
  void ForgetExpired(Shard& aShard);

  LedgerContext& mContext;
  AnswerSink mLocalAnswer;
};

} // namespace peridotspool::ledger
