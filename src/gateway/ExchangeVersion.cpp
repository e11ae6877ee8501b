// Which version of its service a request goes to, and what its answer shows.

#include "gateway/Exchange.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** Fewer gaps between a stream's events say nothing of its pace. */
constexpr std::uint64_t kMinGaps = 3;
/** A caller that left after so many times the objective waited in vain. */
constexpr int kOverdueFactor = 2;

double
RatioOf(Duration aOne, Duration aOther)
{
  return static_cast<double>(aOne.count()) /
         static_cast<double>(std::max<Duration::rep>(1, aOther.count()));
}

} // namespace

// A second look for the same send keeps to the version of the first one.
void
Exchange::ChooseVersion()
{
  if (mSelectionQuery.mLooksFurther) {
    return;
  }
  const TimePoint now = mCore.mNow();
  const auto ready = mCore.mBoard.ReadyVersions(mService);
  const bool isFirst = mRuns == 0 && mRefusals == 0;
  const auto choice =
    isFirst ? mCore.mRollouts.ChooseFirst(
                mService, mRoute->mName, mSelectionQuery.mSeed, ready, now)
            : mCore.mRollouts.ChooseRepeat(mService, ready, now);
  mSelectionQuery.mVersions = choice.mFilter;
  mVersionReason = choice.mReason;
}

rollout::VersionAnswer
Exchange::MakeVersionAnswer(bool aFailed) const
{
  return { .mService = mService,
           .mVersion = mVersion,
           .mUpstream = mUpstream,
           .mRoute = mRoute->mName,
           .mFailed = aFailed,
           .mPace = {},
           .mFirst = {},
           .mTook = mCore.mNow() - mSent.mSentAt };
}

// The time to the first event depends on what the engine keeps of the prompt,
// of which an engine that has just started keeps nothing: it is compared with
// the time that the whole prompt takes to read.
void
Exchange::RecordVersionAnswer(bool aFailed)
{
  if (aFailed && mCore.mRollouts.IsTrying(mService, mVersion)) {
    mCore.mCounters.Add(observe::CounterId::kNewVersionFailed);
  }
  rollout::VersionAnswer answer = MakeVersionAnswer(aFailed);
  if (!mIsStream) {
    answer.mPace = mCore.mNow() - mSent.mSentAt;
  } else if (mEventBatches > 0) {
    answer.mFirst = RatioOf(
      mFirstBatchAt - mSent.mSentAt,
      mCore.mBoard.TimeToRead(mService, mSelectionQuery.mPrompt.Tokens()));
    if (mEventBatches > kMinGaps) {
      answer.mPace = (mLastEventAt - mFirstBatchAt) /
                     static_cast<Duration::rep>(mEventBatches - 1);
    }
  }
  mCore.mRollouts.NoteAnswer(answer);
}

// An answer that doesn't come is as slow as it was waited for.
void
Exchange::RecordOverdueAnswer()
{
  const Duration waited = mCore.mNow() - mSent.mSentAt;
  if (waited < kOverdueFactor * mRoute->mTargetLatency) {
    return;
  }
  rollout::VersionAnswer answer = MakeVersionAnswer(false);
  if (mRoute->mKind != RequestKind::kStreaming) {
    answer.mPace = waited;
  } else if (mEventBatches == 0) {
    answer.mFirst = RatioOf(
      waited,
      mCore.mBoard.TimeToRead(mService, mSelectionQuery.mPrompt.Tokens()));
  }
  mCore.mRollouts.NoteAnswer(answer);
}

} // namespace peridotspool::gateway
