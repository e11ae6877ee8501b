// What a request asks and tells those who keep account of upstreams' load.

#include "gateway/Exchange.h"
#include "peridotspool/gateway/LateRefusal.h"

#include <algorithm>
#include <utility>

namespace peridotspool::gateway {

namespace {

/** How long a request waits for the load of the upstreams it may go to. */
constexpr Duration kAskFor = std::chrono::milliseconds(50);

constexpr unsigned kUnavailable = 503;

std::uint32_t
ToMicroseconds(Duration aDuration)
{
  return static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count());
}

bool
IsFailure(SendResult aResult)
{
  return aResult == SendResult::kFailed || aResult == SendResult::kBroken ||
         aResult == SendResult::kSilent;
}

} // namespace

// Returns true iff the exchange waits for keepers' word: GoOnAsked follows when
// all have answered, or the wait is over.
bool
Exchange::AskKeepers()
{
  mLoadQueryTook = Duration(0);
  mSelectionQuery.mAmong.clear();
  mSelectionQuery.mKept.clear();
  const auto shortlist = mCore.mBoard.Shortlist(mSelectionQuery, mCore.mNow());
  const LoadInquiry inquiry = mCore.mLoadQueries.Begin(
    shortlist, mSelectionQuery.mPrompt.mParts, mCore.mKeepers);
  if (inquiry.mQuestions.empty()) {
    return false;
  }
  for (const ShortlistedUpstream& upstream : shortlist) {
    mSelectionQuery.mAmong.push_back(upstream.mName);
  }
  mLoadQueryTag = inquiry.mTag;
  mLoadQueriedAt = mCore.mNow();
  const std::weak_ptr<Exchange> weak = weak_from_this();
  const auto goOn = [weak, tag = inquiry.mTag] {
    if (const auto self = weak.lock(); self && self->mLoadQueryTag == tag) {
      self->GoOnAsked();
    }
  };
  mCore.mLoadWaiters[mLoadQueryTag] = {
    .mOnLoad =
      [weak](const LoadLine& aLine) {
        if (const auto self = weak.lock()) {
          self->mSelectionQuery.mKept[aLine.mUpstream] = aLine.mKept;
        }
      },
    .mResume = goOn
  };
  mLoadQueryTimer.expires_after(kAskFor);
  mLoadQueryTimer.async_wait([goOn](http::ErrorCode aError) {
    if (!aError) {
      goOn();
    }
  });
  mCore.mCounters.Add(observe::CounterId::kLoadAsked);
  for (const KeeperQuestion& question : inquiry.mQuestions) {
    mCore.mSendToEntry(question.mKeeper, question.mAsk);
  }
  return true;
}

void
Exchange::GoOnAsked()
{
  if (mCore.mLoadWaiters.contains(mLoadQueryTag)) {
    mCore.mCounters.Add(observe::CounterId::kLoadUnanswered);
  }
  StopAsking();
  mLoadQueryTook = mCore.mNow() - mLoadQueriedAt;
  ChooseAndSend();
}

void
Exchange::StopAsking()
{
  if (mLoadQueryTag == 0) {
    return;
  }
  mLoadQueryTimer.cancel();
  mCore.mLoadQueries.Forget(mLoadQueryTag);
  mCore.mLoadWaiters.erase(mLoadQueryTag);
  mLoadQueryTag = 0;
}

// Without it entries that each see an idle engine send their long prompts to
// the same one, and whatever follows waits for all of them.
void
Exchange::TellSent(const UpstreamChoice& aChoice)
{
  mCoordinator = mCore.mKeepers.KeeperOf(aChoice.mName, aChoice.mDomain);
  if (!mCoordinator) {
    return;
  }
  mLoadSendId = ++mCore.mLastSendId;
  mCore.mSendToEntry(*mCoordinator,
                     LoadSent{ .mUpstream = aChoice.mName,
                               .mIncarnation = aChoice.mIncarnation,
                               .mSend = mLoadSendId,
                               .mReadUs = ToMicroseconds(mSent.mReading),
                               .mParts = mSelectionQuery.mPrompt.mParts,
                               .mMemory = EngineMemory() });
}

// Empty where it is to be sent: also where it may have run already, or its
// caller has a part of the answer.
std::optional<Duration>
Exchange::RefusesLate(const UpstreamChoice& aChoice) const
{
  if (mRuns > 0 || mBegun) {
    return std::nullopt;
  }
  return ComeBackIn({ .mExpected = aChoice.mExpected,
                      .mObjective = mRoute->mTargetLatency,
                      .mPrompt = mSelectionQuery.mPrompt.Tokens(),
                      .mHeard = aChoice.mHeard,
                      .mFullness = aChoice.mFullness });
}

void
Exchange::RefuseLate(const UpstreamChoice& aChoice, Duration aComeBack)
{
  mCore.mCounters.Add(observe::CounterId::kRefusedLate);
  mCore.mLogger.Log(observe::EventId::kRequestRefused,
                    { { "request", mId },
                      { "reason", "late" },
                      { "service", mService },
                      { "upstream", aChoice.mName },
                      { "expected_ms", aChoice.mExpected },
                      { "objective_ms", mRoute->mTargetLatency },
                      { "wait_ms", aChoice.mWait },
                      { "reads", aChoice.mReads },
                      { "fullness", aChoice.mFullness },
                      { "candidates", aChoice.mCandidates },
                      { "asked_ms", mCore.mNow() - mArrivedAt },
                      { "come_back_ms", aComeBack } });
  SendLocalResponse(kUnavailable,
                    "upstreams are behind",
                    std::chrono::duration<double>(aComeBack).count());
}

std::uint64_t
Exchange::EngineMemory() const
{
  const auto& services = mTable->Source().mServices;
  const auto service =
    std::find_if(services.begin(), services.end(), [this](const auto& aOne) {
      return aOne.mName == mService;
    });
  return service != services.end() && service->mEngine
           ? service->mEngine->mMemoryTokens
           : 0;
}

void
Exchange::TellBegun()
{
  if (mCore.mBoard.Began(mSent, mCore.mNow()) && mCoordinator) {
    mCore.mSendToEntry(*mCoordinator, LoadBegun{ mUpstream, mLoadSendId });
  }
}

// Returns true iff the upstream is ejected because of it.
bool
Exchange::TellEnded(SendResult aResult)
{
  if (const auto keeper = std::exchange(mCoordinator, std::nullopt)) {
    mCore.mSendToEntry(*keeper,
                       LoadEnded{ .mUpstream = mUpstream,
                                  .mSend = mLoadSendId,
                                  .mWasRead = !mSent.IsReading(),
                                  .mFailed = IsFailure(aResult) });
  }
  return mCore.mBoard.Ended(mSent, aResult, mCore.mNow());
}

} // namespace peridotspool::gateway
