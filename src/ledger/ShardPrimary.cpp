#include "ledger/ShardPrimary.h"

#include <algorithm>
#include <utility>

namespace peridotspool::ledger {

namespace {

/** Maximum number of operations resent to one replica at once. */
constexpr std::uint64_t kResendBatch = 64;

/**
 * Returns the record for an answer, without the texts that the requester
 * already has.
 */
RequestRecord
RecordForAnswer(const RequestRecord& aRecord,
                const Operation& aOperation,
                Verdict aVerdict)
{
  const bool needsAll = aVerdict != Verdict::kDone ||
                        std::holds_alternative<TakeOverOperation>(aOperation) ||
                        std::holds_alternative<ReadOperation>(aOperation);
  if (needsAll) {
    return aRecord;
  }
  RequestRecord lean;
  lean.mKey = aRecord.mKey;
  lean.mTerms.mService = aRecord.mTerms.mService;
  lean.mTerms.mIdempotent = aRecord.mTerms.mIdempotent;
  lean.mTerms.mPriority = aRecord.mTerms.mPriority;
  lean.mExecutor = aRecord.mExecutor;
  lean.mExecutorTurn = aRecord.mExecutorTurn;
  lean.mIntent = aRecord.mIntent;
  lean.mIntentVoid = aRecord.mIntentVoid;
  if (aRecord.mOutcome) {
    lean.mOutcome = aRecord.mOutcome;
    if (!std::holds_alternative<AcceptOperation>(aOperation)) {
      lean.mOutcome->mBody.clear();
    }
  }
  return lean;
}

/** Returns the last committed log position, given the replicas' progress. */
SequenceNumber
CommittedBy(const PrimaryQueue& aQueue, CommitRule aRule, SequenceNumber aLast)
{
  if (aQueue.mReplicas.empty()) {
    return aLast;
  }
  SequenceNumber least = aLast;
  SequenceNumber most;
  for (const auto& [member, progress] : aQueue.mReplicas) {
    least = std::min(least, progress.mAcked);
    most = std::max(most, progress.mAcked);
  }
  return aRule == CommitRule::kAllReplicas ? least : most;
}

} // namespace

ShardPrimary::ShardPrimary(LedgerContext& aContext, AnswerSink aLocalAnswer)
  : mContext(aContext)
  , mLocalAnswer(std::move(aLocalAnswer))
{
}

void
ShardPrimary::Propose(Shard& aShard, WaitingOperation aOperation)
{
  PrimaryQueue& queue = aShard.mQueue;
  if (aShard.Primary() != mContext.mSelf ||
      queue.mInFlight.contains(aOperation.mOrigin)) {
    return;
  }
  if (!aShard.mServing) {
    const bool waits =
      std::any_of(queue.mWaiting.begin(),
                  queue.mWaiting.end(),
                  [&](const WaitingOperation& aWaiting) {
                    return aWaiting.mOrigin == aOperation.mOrigin;
                  });
    if (!waits && queue.mWaiting.size() < mContext.mOptions.mMaxPending) {
      queue.mWaiting.push_back(std::move(aOperation));
    }
    return;
  }
  // An unresponsive replica must not make the primary's queue grow without
  // limit. Operations beyond the limit are dropped; the requester resends them.
  if (queue.mPending.size() < mContext.mOptions.mMaxPending) {
    Append(aShard, aOperation, EvaluateAtPrimary(aShard, aOperation));
  }
}

RuleResult
ShardPrimary::EvaluateAtPrimary(const Shard& aShard,
                                const WaitingOperation& aOperation)
{
  const StoredRecord* stored = aShard.mStore.Find(aOperation.mKey);
  RuleResult result =
    EvaluateOperation(stored, aOperation.mOperation, aOperation.mOrigin);
  const bool mayBeLost = mContext.mNow < aShard.mLossUntil;
  const auto* accept = std::get_if<AcceptOperation>(&aOperation.mOperation);
  if (stored != nullptr) {
    // A refused request may be accepted again, but the copy that says "refused"
    // may predate a later accept that was lost and may have run.
    const bool runsAgain =
      accept != nullptr && result.mChanges && !accept->mTerms.mIdempotent;
    return mayBeLost && runsAgain ? RuleResult{ .mVerdict = Verdict::kLost }
                                  : result;
  }
  if (accept == nullptr) {
    if (mayBeLost && result.mVerdict == Verdict::kNoSuchRequest) {
      result.mVerdict = Verdict::kLost;
    }
    return result;
  }
  // After a loss, an unknown key may belong to a request that has already run.
  // Running a non-idempotent request as a new one would violate at-most-once
  // execution, so it is rejected for as long as an earlier request with the key
  // could matter.
  if (mayBeLost && !accept->mTerms.mIdempotent && !accept->mKeyIsNew) {
    return { .mVerdict = Verdict::kLost, .mChanges = false };
  }
  if (IsFull(aShard, aOperation.mKey, *accept)) {
    ++mContext.mCounters.mFull;
    return { .mVerdict = Verdict::kFull, .mChanges = false };
  }
  return result;
}

bool
ShardPrimary::IsFull(const Shard& aShard,
                     const RequestKey& aKey,
                     const AcceptOperation& aAccept) const
{
  std::uint64_t held = mContext.mHeldBytes;
  for (const MemberId member : aShard.mSet) {
    const auto found = mContext.mPeerBytes.find(member);
    held =
      std::max(held, found == mContext.mPeerBytes.end() ? 0 : found->second);
  }
  RequestRecord record;
  record.mKey = aKey;
  record.mTerms = aAccept.mTerms;
  return held + BytesOf(record, mContext.mOptions) >
         mContext.mOptions.mMaxBytes;
}

// An operation that changes nothing also gets a position in the log: its answer
// depends on the preceding entries, and a primary that was cut off must not
// answer from a state that the other replicas have superseded.
void
ShardPrimary::Append(Shard& aShard,
                     const WaitingOperation& aOperation,
                     const RuleResult& aResult)
{
  PendingOperation pending;
  pending.mSequence = aShard.mLog.Last().mSequence.Next();
  pending.mKey = aOperation.mKey;
  pending.mOrigin = aOperation.mOrigin;
  pending.mAnswer.mVerdict = aResult.mVerdict;
  LogEntry entry{ .mVersion = { .mInterval = aShard.mInterval,
                                .mSequence = pending.mSequence },
                  .mKey = std::nullopt };
  if (aResult.mChanges) {
    pending.mOperation = aOperation.mOperation;
    entry.mKey = aOperation.mKey;
    const HeldBytesGuard guard(mContext, aShard);
    aShard.mStore.Apply(aOperation.mKey,
                        aOperation.mOperation,
                        aOperation.mOrigin,
                        mContext.mOptions,
                        mContext.mNow);
    WatchExecutor(aShard, aOperation.mKey);
  } else {
    pending.mOperation = ReadOperation();
  }
  aShard.mLog.Append(std::move(entry), mContext.mOptions.mLogEntries);
  if (const StoredRecord* stored = aShard.mStore.Find(aOperation.mKey)) {
    pending.mAnswer.mRecord =
      RecordForAnswer(stored->mRecord, aOperation.mOperation, aResult.mVerdict);
    pending.mDeadline = stored->mDeadline;
  }
  for (auto& [member, progress] : aShard.mQueue.mReplicas) {
    if (progress.mAcked.Next() == pending.mSequence) {
      progress.mRetryAt = mContext.mNow + mContext.mOptions.mResendInterval;
    }
    Replicate(aShard, member, pending);
  }
  if (pending.mOrigin.mCall.IsSet()) {
    aShard.mQueue.mInFlight.insert(pending.mOrigin);
  }
  aShard.mQueue.mPending.push_back(std::move(pending));
  Commit(aShard);
}

void
ShardPrimary::Replicate(const Shard& aShard,
                        MemberId aTo,
                        const PendingOperation& aPending)
{
  mContext.Send(aTo,
                ReplicateMessage{ .mShard = aShard.mId,
                                  .mInterval = aShard.mInterval,
                                  .mSequence = aPending.mSequence,
                                  .mKey = aPending.mKey,
                                  .mOperation = aPending.mOperation,
                                  .mOrigin = aPending.mOrigin });
}

void
ShardPrimary::OnAck(MemberId aFrom, const AckMessage& aAck)
{
  mContext.mPeerBytes[aFrom] = aAck.mHeldBytes;
  Shard& shard = mContext.ShardAt(aAck.mShard);
  const auto found = shard.mQueue.mReplicas.find(aFrom);
  if (!shard.mServing || aAck.mInterval != shard.mInterval ||
      found == shard.mQueue.mReplicas.end()) {
    return;
  }
  ReplicaProgress& progress = found->second;
  const bool isProgress =
    aAck.mLast > progress.mAcked && aAck.mLast <= shard.mLog.Last().mSequence;
  if (isProgress) {
    progress.mAcked = aAck.mLast;
    progress.mRetryAt = mContext.mNow + mContext.mOptions.mResendInterval;
    Commit(shard);
  }
}

void
ShardPrimary::Commit(Shard& aShard)
{
  PrimaryQueue& queue = aShard.mQueue;
  const SequenceNumber last = aShard.mLog.Last().mSequence;
  const SequenceNumber committed =
    CommittedBy(queue, mContext.mOptions.mCommitRule, last);
  const SequenceNumber onAll =
    CommittedBy(queue, CommitRule::kAllReplicas, last);
  if (!queue.mPending.empty()) {
    const std::uint64_t first = queue.mPending.front().mSequence.Value();
    while (queue.mCommitted < committed) {
      queue.mCommitted = queue.mCommitted.Next();
      Answer(aShard, queue.mPending[queue.mCommitted.Value() - first]);
    }
  }
  while (!queue.mPending.empty() && queue.mPending.front().mSequence <= onAll) {
    queue.mPending.pop_front();
  }
}

void
ShardPrimary::Answer(Shard& aShard, PendingOperation& aPending)
{
  ++mContext.mCounters.mCommitted;
  if (!aPending.mOrigin.mCall.IsSet()) {
    return;
  }
  aShard.mQueue.mInFlight.erase(aPending.mOrigin);
  OperationAnswer answer = std::move(aPending.mAnswer);
  if (answer.mRecord) {
    answer.mRemaining = aPending.mDeadline - mContext.mNow;
  }
  if (aPending.mOrigin.mMember == mContext.mSelf) {
    mLocalAnswer(aPending.mOrigin.mCall, answer);
    return;
  }
  mContext.Send(aPending.mOrigin.mMember,
                AnswerMessage{ .mCall = aPending.mOrigin.mCall,
                               .mKey = aPending.mKey,
                               .mAnswer = std::move(answer) });
}

void
ShardPrimary::Serve(Shard& aShard)
{
  PrimaryQueue& queue = aShard.mQueue;
  std::vector<WaitingOperation> waiting = std::move(queue.mWaiting);
  queue = PrimaryQueue();
  queue.mCommitted = aShard.mLog.Last().mSequence;
  for (const MemberId member : aShard.mSet) {
    if (member != mContext.mSelf) {
      queue.mReplicas[member].mAcked = queue.mCommitted;
    }
  }
  aShard.mServing = true;
  aShard.mRound.reset();
  ++mContext.mCounters.mPeered;
  AnnounceOrphans(aShard);
  for (WaitingOperation& operation : waiting) {
    Propose(aShard, std::move(operation));
  }
}

void
ShardPrimary::OnTick(Shard& aShard)
{
  if (aShard.mServing) {
    Resend(aShard);
    AnnounceOverdue(aShard);
    ForgetExpired(aShard);
  }
}

void
ShardPrimary::Resend(Shard& aShard)
{
  PrimaryQueue& queue = aShard.mQueue;
  if (queue.mPending.empty()) {
    return;
  }
  const std::uint64_t first = queue.mPending.front().mSequence.Value();
  for (auto& [member, progress] : queue.mReplicas) {
    const std::uint64_t next = progress.mAcked.Value() + 1;
    if (next >= first + queue.mPending.size() ||
        progress.mRetryAt > mContext.mNow) {
      continue;
    }
    const std::uint64_t count = std::min<std::uint64_t>(
      kResendBatch, first + queue.mPending.size() - next);
    for (std::uint64_t i = 0; i < count; ++i) {
      Replicate(aShard, member, queue.mPending[next - first + i]);
    }
    mContext.mCounters.mResent += count;
    progress.mRetryAt = mContext.mNow + mContext.mOptions.mResendInterval;
  }
}

} // namespace peridotspool::ledger
