// Choice of the service's version for a request, and reports of its results.

#include "gateway/Exchange.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** With fewer gaps between events, a stream's pace is not representative. */
constexpr std::uint64_t kMinGaps = 3;
/** A response is overdue after this many times the route's latency objective.
 */
constexpr int kOverdueFactor = 2;

double
RatioOf(Duration aOne, Duration aOther)
{
  return static_cast<double>(aOne.count()) /
         static_cast<double>(std::max<Duration::rep>(1, aOther.count()));
}

} // namespace

// A second selection for the same send keeps the version of the first one.
void
Exchange::ChooseVersion()
{
  if (mSelectionQuery.mUseLongShortlist) {
    return;
  }
  const TimePoint now = mCore.mNow();
  const auto ready = mCore.mSelector.ReadyVersions(mService);
  const bool isFirst = mRuns == 0 && mRefusals == 0;
  const auto choice =
    mOrigin
      ? mCore.mRollouts.ChooseResumed(mService, mOrigin->mVersion, ready, now)
    : isFirst ? mCore.mRollouts.ChooseFirst(
                  mService, mRoute->mName, mSelectionQuery.mSeed, ready, now)
              : mCore.mRollouts.ChooseRetry(mService, ready, now);
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
           .mFirstEvent = {},
           .mTotalTime = mCore.mNow() - mSent.mSentAt };
}

// The time to the first event depends on how much of the prompt the engine has
// cached, and an engine that has just started has nothing cached. The time is
// therefore divided by the time expected for the uncached prompt.
void
Exchange::RecordVersionAnswer(bool aFailed)
{
  if (aFailed && mCore.mRollouts.IsRollingOut(mService, mVersion)) {
    mCore.mCounters.Add(observe::CounterId::kNewVersionFailed);
  }
  rollout::VersionAnswer answer = MakeVersionAnswer(aFailed);
  if (!mIsStream) {
    answer.mPace = mCore.mNow() - mSent.mSentAt;
  } else if (mEventBatches > 0) {
    answer.mFirstEvent = RatioOf(mFirstBatchAt - mSent.mSentAt,
                                 mCore.mSelector.UncachedFirstEventTime(
                                   mService, mSelectionQuery.mPrompt.Tokens()));
    if (mEventBatches > kMinGaps) {
      answer.mPace = (mLastEventAt - mFirstBatchAt) /
                     static_cast<Duration::rep>(mEventBatches - 1);
    }
  }
  mCore.mRollouts.RecordAnswer(answer);
}

// A response that has not come when the wait ends counts as one that took as
// long as the wait. Waits shorter than kOverdueFactor objectives are ignored.
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
    answer.mFirstEvent = RatioOf(waited,
                                 mCore.mSelector.UncachedFirstEventTime(
                                   mService, mSelectionQuery.mPrompt.Tokens()));
  }
  mCore.mRollouts.RecordAnswer(answer);
}

} // namespace peridotspool::gateway
