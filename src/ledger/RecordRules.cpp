#include "ledger/RecordRules.h"

#include "peridotspool/base/Overloaded.h"

#include <algorithm>

namespace peridotspool::ledger {

namespace {

/**
 * Maximum number of times that one key may be refused and accepted again while
 * its record is retained.
 */
constexpr std::size_t kMaxRefusedAccepts = 16;

constexpr RuleResult kChange{ .mVerdict = Verdict::kDone, .mChanges = true };
constexpr RuleResult kRepeated{ .mVerdict = Verdict::kDone, .mChanges = false };

RuleResult
Refuse(Verdict aVerdict)
{
  return { .mVerdict = aVerdict, .mChanges = false };
}

// Priorities are not compared: they come from the settings, which may change
// between a request and its retry.
bool
SameTerms(const RequestTerms& aLeft, const RequestTerms& aRight)
{
  return aLeft.mService == aRight.mService &&
         aLeft.mIdempotent == aRight.mIdempotent && aLeft.mBody == aRight.mBody;
}

// A caller retries a refused request with the same key after the indicated
// delay. A refused request certainly did not run, so it may be accepted again,
// but not by a late duplicate of the refused accept: no caller waits for that
// answer any more.
bool
MayRestart(const StoredRecord& aStored, const Origin& aOrigin)
{
  const std::vector<Origin>& refused = aStored.mRefusedAccepts;
  return aStored.mRecord.mOutcome &&
         aStored.mRecord.mOutcome->mKind == OutcomeKind::kRefused &&
         refused.size() < kMaxRefusedAccepts &&
         std::find(refused.begin(), refused.end(), aOrigin) == refused.end();
}

RuleResult
EvaluateAccept(const StoredRecord& aStored,
               const AcceptOperation& aAccept,
               const Origin& aOrigin)
{
  if (aStored.mForgotten) {
    return Refuse(Verdict::kFinished);
  }
  if (!SameTerms(aStored.mRecord.mTerms, aAccept.mTerms)) {
    return Refuse(Verdict::kOtherTerms);
  }
  if (aStored.mAccepted == aOrigin) {
    return kRepeated;
  }
  return MayRestart(aStored, aOrigin) ? kChange : Refuse(Verdict::kKnown);
}

RuleResult
EvaluateIntend(const RequestRecord& aRecord, const IntendOperation& aIntend)
{
  if (aRecord.mOutcome) {
    return Refuse(Verdict::kFinished);
  }
  if (aRecord.mExecutorTurn != aIntend.mExecutorTurn) {
    return Refuse(Verdict::kOldTurn);
  }
  const bool standing = HasStandingIntent(aRecord);
  if (standing && *aRecord.mIntent == aIntend.mIntent) {
    return kRepeated;
  }
  if (standing && !aRecord.mTerms.mIdempotent) {
    return Refuse(Verdict::kMayHaveRun);
  }
  // A late duplicate of a voided intent must not become standing again: it
  // would never be voided a second time, and the request could never be sent.
  if (aRecord.mIntent &&
      aIntend.mIntent.mAttempt <= aRecord.mIntent->mAttempt) {
    return Refuse(Verdict::kOldTurn);
  }
  return kChange;
}

RuleResult
EvaluateVoid(const RequestRecord& aRecord, const VoidIntentOperation& aVoid)
{
  if (aRecord.mOutcome) {
    return Refuse(Verdict::kFinished);
  }
  if (aRecord.mExecutorTurn != aVoid.mExecutorTurn) {
    return Refuse(Verdict::kOldTurn);
  }
  if (!aRecord.mIntent || aRecord.mIntent->mAttempt < aVoid.mAttempt) {
    return HasStandingIntent(aRecord) ? Refuse(Verdict::kMayHaveRun) : kChange;
  }
  const bool current = aRecord.mIntent->mAttempt == aVoid.mAttempt &&
                       aVoid.mAttempt != kLostAttempt;
  return current && !aRecord.mIntentVoid ? kChange : kRepeated;
}

RuleResult
EvaluateFinish(const RequestRecord& aRecord, const FinishOperation& aFinish)
{
  if (aRecord.mOutcome) {
    return *aRecord.mOutcome == aFinish.mOutcome ? kRepeated
                                                 : Refuse(Verdict::kFinished);
  }
  if (aRecord.mExecutorTurn != aFinish.mExecutorTurn) {
    return Refuse(Verdict::kOldTurn);
  }
  const bool saysNotRun = aFinish.mOutcome.mKind == OutcomeKind::kRefused;
  if (saysNotRun && HasStandingIntent(aRecord)) {
    return Refuse(Verdict::kMayHaveRun);
  }
  return kChange;
}

RuleResult
EvaluateTakeOver(const RequestRecord& aRecord,
                 const TakeOverOperation& aTakeOver)
{
  if (aRecord.mOutcome) {
    return Refuse(Verdict::kFinished);
  }
  if (aRecord.mExecutorTurn == aTakeOver.mExecutorTurn) {
    return kChange;
  }
  const bool repeated =
    aRecord.mExecutorTurn == aTakeOver.mExecutorTurn.Next() &&
    aRecord.mExecutor == aTakeOver.mExecutor;
  return repeated ? kRepeated : Refuse(Verdict::kOldTurn);
}

RuleResult
EvaluateCancel(const RequestRecord& aRecord)
{
  if (!aRecord.mOutcome) {
    return kChange;
  }
  return aRecord.mOutcome->mKind == OutcomeKind::kCancelled
           ? kRepeated
           : Refuse(Verdict::kFinished);
}

RuleResult
EvaluateForget(const StoredRecord& aStored, const ForgetOperation& aForget)
{
  if (!aStored.mRecord.mOutcome) {
    return Refuse(Verdict::kKnown);
  }
  return aForget.mExpired || !aStored.mForgotten ? kChange : kRepeated;
}

RuleResult
EvaluateUnknown(const Operation& aOperation)
{
  if (std::holds_alternative<AcceptOperation>(aOperation)) {
    return kChange;
  }
  if (std::holds_alternative<ForgetOperation>(aOperation)) {
    return kRepeated;
  }
  return Refuse(Verdict::kNoSuchRequest);
}

Outcome
CancelledOutcome(const RequestRecord& aRecord)
{
  const bool mayHaveRun = HasStandingIntent(aRecord);
  Outcome outcome;
  outcome.mKind = OutcomeKind::kCancelled;
  outcome.mReason =
    mayHaveRun ? "cancelled-may-have-run" : "cancelled-did-not-run";
  return outcome;
}

void
Void(RequestRecord& aRecord, const VoidIntentOperation& aVoid)
{
  if (!aRecord.mIntent || aRecord.mIntent->mAttempt != aVoid.mAttempt) {
    // The message with the intent is still in transit, or lost. This marker
    // causes the intent to be rejected if it arrives later.
    aRecord.mIntent = DispatchIntent{ .mAttempt = aVoid.mAttempt,
                                      .mUpstream = UpstreamName(),
                                      .mIncarnation = Incarnation() };
  }
  aRecord.mIntentVoid = true;
}

} // namespace

bool
HasStandingIntent(const RequestRecord& aRecord)
{
  return aRecord.mIntent.has_value() && !aRecord.mIntentVoid;
}

RuleResult
EvaluateOperation(const StoredRecord* aRecord,
                  const Operation& aOperation,
                  const Origin& aOrigin)
{
  if (aRecord == nullptr) {
    return EvaluateUnknown(aOperation);
  }
  const RequestRecord& record = aRecord->mRecord;
  return std::visit(
    Overloaded{ [&](const AcceptOperation& aAccept) {
                 return EvaluateAccept(*aRecord, aAccept, aOrigin);
               },
                [&](const IntendOperation& aIntend) {
                  return EvaluateIntend(record, aIntend);
                },
                [&](const VoidIntentOperation& aVoid) {
                  return EvaluateVoid(record, aVoid);
                },
                [&](const FinishOperation& aFinish) {
                  return EvaluateFinish(record, aFinish);
                },
                [&](const TakeOverOperation& aTakeOver) {
                  return EvaluateTakeOver(record, aTakeOver);
                },
                [&](const CancelOperation&) { return EvaluateCancel(record); },
                [&](const ForgetOperation& aForget) {
                  return EvaluateForget(*aRecord, aForget);
                },
                [&](const ReadOperation&) { return kRepeated; } },
    aOperation);
}

void
ApplyChange(RequestRecord& aRecord, const Operation& aOperation)
{
  std::visit(
    Overloaded{ [&](const IntendOperation& aIntend) {
                 aRecord.mIntent = aIntend.mIntent;
                 aRecord.mIntentVoid = false;
               },
                [&](const VoidIntentOperation& aVoid) { Void(aRecord, aVoid); },
                [&](const FinishOperation& aFinish) {
                  aRecord.mOutcome = aFinish.mOutcome;
                },
                [&](const TakeOverOperation& aTakeOver) {
                  aRecord.mExecutor = aTakeOver.mExecutor;
                  aRecord.mExecutorTurn = aTakeOver.mExecutorTurn.Next();
                },
                [&](const CancelOperation&) {
                  aRecord.mOutcome = CancelledOutcome(aRecord);
                },
                [](const auto&) {} },
    aOperation);
}

} // namespace peridotspool::ledger
