#include "ledger/CallTracker.h"

#include "ledger/ShardPrimary.h"

#include <algorithm>

namespace peridotspool::ledger {

namespace {

/**
 * Returns the operation with its remaining time reduced by the time that it has
 * waited.
 */
Operation
Aged(const Operation& aOperation, Duration aAge)
{
  Operation aged = aOperation;
  if (auto* accept = std::get_if<AcceptOperation>(&aged)) {
    accept->mRemaining = std::max(Duration::zero(), accept->mRemaining - aAge);
  }
  return aged;
}

} // namespace

CallTracker::CallTracker(LedgerContext& aContext, ShardPrimary& aPrimary)
  : mContext(aContext)
  , mPrimary(aPrimary)
{
}

void
CallTracker::OnPropose(const ProposeEvent& aEvent)
{
  const auto [place, isNew] =
    mCalls.try_emplace(aEvent.mCall,
                       Call{ .mKey = aEvent.mKey,
                             .mOperation = aEvent.mOperation,
                             .mStarted = mContext.mNow,
                             .mNextSend = mContext.mNow });
  if (isNew) {
    mTimers.emplace(mContext.mNow, aEvent.mCall);
    Send(aEvent.mCall, place->second);
  }
}

void
CallTracker::Send(CallId aId, Call& aCall)
{
  mTimers.erase({ aCall.mNextSend, aId });
  aCall.mNextSend = mContext.mNow + mContext.mOptions.mResendInterval;
  mTimers.emplace(aCall.mNextSend, aId);
  const ShardId shard = ShardOf(aCall.mKey);
  const MemberId primary = mContext.mPlacement.PrimaryOf(shard);
  if (!primary.IsSet()) {
    return;
  }
  Operation operation = Aged(aCall.mOperation, mContext.mNow - aCall.mStarted);
  if (primary != mContext.mSelf) {
    mContext.Send(primary,
                  ProposeMessage{ .mEpoch = mContext.mEpoch,
                                  .mCall = aId,
                                  .mKey = aCall.mKey,
                                  .mOperation = std::move(operation) });
    return;
  }
  // The answer may arrive synchronously and end the call, so aCall must not be
  // used afterwards.
  const RequestKey key = aCall.mKey;
  mPrimary.Propose(mContext.ShardAt(shard),
                   { .mOrigin = { .mMember = mContext.mSelf, .mCall = aId },
                     .mKey = key,
                     .mOperation = std::move(operation) });
}

void
CallTracker::OnAnswer(CallId aCall, const OperationAnswer& aAnswer)
{
  Finish(aCall, aAnswer);
}

void
CallTracker::Finish(CallId aId, OperationAnswer aAnswer)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  Call& call = found->second;
  const auto* accept = std::get_if<AcceptOperation>(&call.mOperation);
  if (accept != nullptr && aAnswer.mVerdict == Verdict::kDone &&
      aAnswer.mRecord) {
    aAnswer.mRecord->mTerms.mBody = accept->mTerms.mBody;
  }
  mContext.mEffects.emplace_back(
    AnsweredEffect{ .mCall = aId,
                    .mKey = std::move(call.mKey),
                    .mAnswer = std::move(aAnswer) });
  mTimers.erase({ call.mNextSend, aId });
  mCalls.erase(found);
}

// A primary drops its operations in progress when its replica set changes, even
// if it remains the primary, so all open calls are resent at once.
void
CallTracker::OnEpoch()
{
  std::vector<CallId> open;
  open.reserve(mCalls.size());
  for (const auto& [id, call] : mCalls) {
    open.push_back(id);
  }
  for (const CallId id : open) {
    if (const auto found = mCalls.find(id); found != mCalls.end()) {
      Send(id, found->second);
    }
  }
}

void
CallTracker::OnTick()
{
  std::vector<CallId> due;
  for (auto timer = mTimers.begin();
       timer != mTimers.end() && timer->first <= mContext.mNow;
       ++timer) {
    due.push_back(timer->second);
  }
  for (const CallId id : due) {
    const auto found = mCalls.find(id);
    if (found == mCalls.end()) {
      continue;
    }
    const Duration age = mContext.mNow - found->second.mStarted;
    if (age >= mContext.mOptions.mCallTimeout) {
      Finish(id, OperationAnswer{ .mVerdict = Verdict::kNoAnswer });
      continue;
    }
    ++mContext.mCounters.mResent;
    Send(id, found->second);
  }
}

} // namespace peridotspool::ledger
