// Which version of its service a request goes to, and what its answer shows.

#include "gateway/Exchange.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** Fewer gaps between a stream's events say nothing of its pace. */
constexpr std::uint64_t kLeastGaps = 3;
/** A caller that left after so many times the objective waited in vain. */
constexpr int kOverlongTimes = 2;

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
  if (mQuestion.mLooksFurther) {
    return;
  }
  const TimePoint now = mCore.mNow();
  const auto ready = mCore.mBoard.ReadyVersions(mService);
  const bool isFirst = mRuns == 0 && mRefusals == 0;
  const auto choice =
    isFirst ? mCore.mRollouts.ChooseFirst(
                mService, mRoute->mName, mQuestion.mSeed, ready, now)
            : mCore.mRollouts.ChooseRetry(mService, ready, now);
  mQuestion.mVersions = choice.mFilter;
  mVersionReason = choice.mReason;
}

rollout::VersionAnswer
Exchange::VersionAnswerOf(bool aFailed) const
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

// The time to the first event depends on what the engine keeps of the prompt,
// of which an engine that has just started keeps nothing: it is compared with
// the time that the whole prompt takes to read.
void
Exchange::NoteVersion(bool aFailed)
{
  if (aFailed && mCore.mRollouts.IsRollingOut(mService, mVersion)) {
    mCore.mCounters.Add(observe::CounterId::kNewVersionFailed);
  }
  rollout::VersionAnswer answer = VersionAnswerOf(aFailed);
  if (!mIsStream) {
    answer.mPace = mCore.mNow() - mSent.mSentAt;
  } else if (mPieces > 0) {
    answer.mFirstEvent =
      RatioOf(mFirstPieceAt - mSent.mSentAt,
              mCore.mBoard.TimeToRead(mService, mQuestion.mPrompt.Tokens()));
    if (mPieces > kLeastGaps) {
      answer.mPace = (mLastEventAt - mFirstPieceAt) /
                     static_cast<Duration::rep>(mPieces - 1);
    }
  }
  mCore.mRollouts.RecordAnswer(answer);
}

// An answer that doesn't come is as slow as it was waited for.
void
Exchange::NoteOverlong()
{
  const Duration waited = mCore.mNow() - mSent.mSentAt;
  if (waited < kOverlongTimes * mRoute->mTargetLatency) {
    return;
  }
  rollout::VersionAnswer answer = VersionAnswerOf(false);
  if (mRoute->mKind != RequestKind::kStreaming) {
    answer.mPace = waited;
  } else if (mPieces == 0) {
    answer.mFirstEvent = RatioOf(
      waited, mCore.mBoard.TimeToRead(mService, mQuestion.mPrompt.Tokens()));
  }
  mCore.mRollouts.RecordAnswer(answer);
}

} // namespace peridotspool::gateway
