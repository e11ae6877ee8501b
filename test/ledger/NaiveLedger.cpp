#include "ledger/NaiveLedger.h"

namespace peridotspool::ledger {

Verdict
NaiveLedger::Do(const RequestKey& aKey, const Operation& aOperation)
{
  return std::visit([&](const auto& aKind) { return On(aKey, aKind); },
                    aOperation);
}

const RequestRecord*
NaiveLedger::Find(const RequestKey& aKey) const
{
  const auto found = mEntries.find(aKey);
  return found == mEntries.end() ? nullptr : &found->second.mRecord;
}

Verdict
NaiveLedger::On(const RequestKey& aKey, const AcceptOperation& aAccept)
{
  AttemptNumber turn(1);
  if (const auto found = mEntries.find(aKey); found != mEntries.end()) {
    const Entry& entry = found->second;
    if (entry.mForgotten) {
      return Verdict::kFinished;
    }
    if (entry.mRecord.mTerms != aAccept.mTerms) {
      return Verdict::kOtherTerms;
    }
    const auto& outcome = entry.mRecord.mOutcome;
    if (!outcome || outcome->mKind != OutcomeKind::kRefused) {
      return Verdict::kKnown;
    }
    turn = entry.mRecord.mExecutorTurn.Next();
  }
  Entry entry;
  entry.mRecord.mKey = aKey;
  entry.mRecord.mTerms = aAccept.mTerms;
  entry.mRecord.mExecutor = aAccept.mExecutor;
  entry.mRecord.mExecutorTurn = turn;
  mEntries.insert_or_assign(aKey, entry);
  return Verdict::kDone;
}

NaiveLedger::Entry*
NaiveLedger::Running(const RequestKey& aKey,
                     AttemptNumber aTurn,
                     Verdict& aVerdict)
{
  const auto found = mEntries.find(aKey);
  if (found == mEntries.end()) {
    aVerdict = Verdict::kNoSuchRequest;
  } else if (found->second.mRecord.mOutcome) {
    aVerdict = Verdict::kFinished;
  } else if (found->second.mRecord.mExecutorTurn != aTurn) {
    aVerdict = Verdict::kOldTurn;
  } else {
    return &found->second;
  }
  return nullptr;
}

Verdict
NaiveLedger::On(const RequestKey& aKey, const IntendOperation& aIntend)
{
  Verdict verdict = Verdict::kDone;
  Entry* entry = Running(aKey, aIntend.mExecutorTurn, verdict);
  if (entry == nullptr) {
    return verdict;
  }
  RequestRecord& record = entry->mRecord;
  if (entry->Stands() && record.mIntent == aIntend.mIntent) {
    return Verdict::kDone;
  }
  if (entry->Stands() && !record.mTerms.mIdempotent) {
    return Verdict::kMayHaveRun;
  }
  if (record.mIntent && record.mIntent->mAttempt >= aIntend.mIntent.mAttempt) {
    return Verdict::kOldTurn;
  }
  record.mIntent = aIntend.mIntent;
  record.mIntentVoid = false;
  return Verdict::kDone;
}

Verdict
NaiveLedger::On(const RequestKey& aKey, const VoidIntentOperation& aVoid)
{
  Verdict verdict = Verdict::kDone;
  Entry* entry = Running(aKey, aVoid.mExecutorTurn, verdict);
  if (entry == nullptr) {
    return verdict;
  }
  RequestRecord& record = entry->mRecord;
  const std::uint64_t last =
    record.mIntent ? record.mIntent->mAttempt.Value() : 0;
  if (aVoid.mAttempt.Value() > last) {
    if (entry->Stands()) {
      return Verdict::kMayHaveRun;
    }
    record.mIntent = DispatchIntent{ .mAttempt = aVoid.mAttempt,
                                     .mUpstream = UpstreamName(),
                                     .mIncarnation = Incarnation() };
    record.mIntentVoid = true;
  } else if (aVoid.mAttempt.Value() == last) {
    record.mIntentVoid = true;
  }
  return Verdict::kDone;
}

Verdict
NaiveLedger::On(const RequestKey& aKey, const FinishOperation& aFinish)
{
  Verdict verdict = Verdict::kDone;
  Entry* entry = Running(aKey, aFinish.mExecutorTurn, verdict);
  if (entry == nullptr) {
    const bool again = verdict == Verdict::kFinished &&
                       mEntries[aKey].mRecord.mOutcome == aFinish.mOutcome;
    return again ? Verdict::kDone : verdict;
  }
  if (aFinish.mOutcome.mKind == OutcomeKind::kRefused && entry->Stands()) {
    return Verdict::kMayHaveRun;
  }
  entry->mRecord.mOutcome = aFinish.mOutcome;
  return Verdict::kDone;
}

Verdict
NaiveLedger::On(const RequestKey& aKey, const TakeOverOperation& aTakeOver)
{
  Verdict verdict = Verdict::kDone;
  Entry* entry = Running(aKey, aTakeOver.mExecutorTurn, verdict);
  if (entry == nullptr) {
    if (verdict == Verdict::kOldTurn) {
      const RequestRecord& record = mEntries[aKey].mRecord;
      const bool again = record.mExecutor == aTakeOver.mExecutor &&
                         record.mExecutorTurn == aTakeOver.mExecutorTurn.Next();
      return again ? Verdict::kDone : verdict;
    }
    return verdict;
  }
  entry->mRecord.mExecutor = aTakeOver.mExecutor;
  entry->mRecord.mExecutorTurn = aTakeOver.mExecutorTurn.Next();
  return Verdict::kDone;
}

Verdict
NaiveLedger::On(const RequestKey& aKey, const CancelOperation& /*aCancel*/)
{
  const auto found = mEntries.find(aKey);
  if (found == mEntries.end()) {
    return Verdict::kNoSuchRequest;
  }
  RequestRecord& record = found->second.mRecord;
  if (record.mOutcome) {
    return record.mOutcome->mKind == OutcomeKind::kCancelled
             ? Verdict::kDone
             : Verdict::kFinished;
  }
  Outcome outcome;
  outcome.mKind = OutcomeKind::kCancelled;
  outcome.mReason =
    found->second.Stands() ? "cancelled-may-have-run" : "cancelled-did-not-run";
  record.mOutcome = outcome;
  return Verdict::kDone;
}

Verdict
NaiveLedger::On(const RequestKey& aKey, const ForgetOperation& /*aForget*/)
{
  const auto found = mEntries.find(aKey);
  if (found == mEntries.end()) {
    return Verdict::kDone;
  }
  RequestRecord& record = found->second.mRecord;
  if (!record.mOutcome) {
    return Verdict::kKnown;
  }
  record.mTerms.mBody.clear();
  record.mOutcome->mBody.clear();
  found->second.mForgotten = true;
  return Verdict::kDone;
}

Verdict
NaiveLedger::On(const RequestKey& aKey, const ReadOperation& /*aRead*/)
{
  return mEntries.contains(aKey) ? Verdict::kDone : Verdict::kNoSuchRequest;
}

} // namespace peridotspool::ledger
