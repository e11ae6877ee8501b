// Load queries and reports of a request to the load coordinators of upstreams.

#include "gateway/Exchange.h"
#include "peridotspool/gateway/LoadShedding.h"

#include <algorithm>
#include <utility>

namespace peridotspool::gateway {

namespace {

/** Time that a request waits for the responses of load coordinators. */
constexpr Duration kLoadQueryTimeout = std::chrono::milliseconds(50);

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
         aResult == SendResult::kTimedOut;
}

} // namespace

// Returns true iff coordinators were queried. OnLoadQueryDone is then called
// when all have responded or kLoadQueryTimeout has expired.
bool
Exchange::QueryLoad()
{
  mLoadQueryTook = Duration(0);
  mSelectionQuery.mShortlist.clear();
  mSelectionQuery.mCachedTokens.clear();
  mSharePercents.clear();
  const auto shortlist =
    mCore.mSelector.Shortlist(mSelectionQuery, mCore.mNow());
  LoadQuerySet querySet = mCore.mLoadQueries.Begin(
    shortlist, mSelectionQuery.mPrompt.mParts, mCore.mCoordinators);
  if (querySet.mQueries.empty()) {
    return false;
  }
  for (const ShortlistedUpstream& upstream : shortlist) {
    mSelectionQuery.mShortlist.push_back(upstream.mName);
  }
  mLoadQueryTag = querySet.mTag;
  mLoadQueriedAt = mCore.mNow();
  const std::weak_ptr<Exchange> weak = weak_from_this();
  const auto proceed = [weak, tag = querySet.mTag] {
    if (const auto self = weak.lock(); self && self->mLoadQueryTag == tag) {
      self->OnLoadQueryDone();
    }
  };
  mCore.mLoadWaiters[mLoadQueryTag] = {
    .mOnLoad =
      [weak](const UpstreamLoad& aLoad) {
        if (const auto self = weak.lock()) {
          self->mSelectionQuery.mCachedTokens[aLoad.mUpstream] =
            aLoad.mCachedTokens;
          if (aLoad.mSharePercent) {
            self->mSharePercents[aLoad.mUpstream] = *aLoad.mSharePercent;
          }
        }
      },
    .mResume = proceed
  };
  mLoadQueryTimer.expires_after(kLoadQueryTimeout);
  mLoadQueryTimer.async_wait([proceed](http::ErrorCode aError) {
    if (!aError) {
      proceed();
    }
  });
  mCore.mCounters.Add(observe::CounterId::kLoadAsked);
  const auto account = AccountFor(mSelectionQuery.mPrompt.Tokens());
  std::optional<std::uint32_t> candidates;
  if (mCore.mSelector.LearnsSpeed(mService)) {
    candidates = static_cast<std::uint32_t>(shortlist.size());
  }
  for (CoordinatorQuery& query : querySet.mQueries) {
    query.mQuery.mAccount = account;
    query.mQuery.mCandidates = candidates;
    mCore.mSendToEntry(query.mCoordinator, query.mQuery);
  }
  return true;
}

void
Exchange::OnLoadQueryDone()
{
  if (mCore.mLoadWaiters.contains(mLoadQueryTag)) {
    mCore.mCounters.Add(observe::CounterId::kLoadUnanswered);
  }
  CancelLoadQuery();
  mLoadQueryTook = mCore.mNow() - mLoadQueriedAt;
  ChooseAndSend();
}

void
Exchange::CancelLoadQuery()
{
  if (mLoadQueryTag == 0) {
    return;
  }
  mLoadQueryTimer.cancel();
  mCore.mLoadQueries.Cancel(mLoadQueryTag);
  mCore.mLoadWaiters.erase(mLoadQueryTag);
  mLoadQueryTag = 0;
}

// Without this report, entries that each see an idle engine would send their
// long prompts to the same one, and all later prompts would wait for them.
void
Exchange::ReportSent(const UpstreamChoice& aChoice)
{
  mCoordinator =
    mCore.mCoordinators.CoordinatorOf(aChoice.mName, aChoice.mDomain);
  if (!mCoordinator) {
    return;
  }
  mLoadSendId = TakeSendId();
  mCore.mSendToEntry(
    *mCoordinator,
    SendStartedReport{ .mUpstream = aChoice.mName,
                       .mIncarnation = aChoice.mIncarnation,
                       .mSendId = mLoadSendId,
                       .mPrefillUs = ToMicroseconds(mSent.mPrefillTime),
                       .mParts = mSelectionQuery.mPrompt.mParts,
                       .mCacheTokens = EngineCacheTokens(),
                       .mHasPermit = mSendPermit.has_value(),
                       .mAccount = AccountFor(mSent.mPrefillTokens) });
}

// Returns empty if the request is to be sent, which includes requests that may
// have run before and those whose caller already has part of the stream.
std::optional<Duration>
Exchange::LoadSheddingRetryAfter(const UpstreamChoice& aChoice) const
{
  if (mRuns > 0 || mBegun || mOrigin) {
    return std::nullopt;
  }
  return RetryAfterIfLate({ .mExpectedFirstEvent = aChoice.mExpectedFirstEvent,
                            .mObjective = mRoute->mTargetLatency,
                            .mPromptTokens = mSelectionQuery.mPrompt.Tokens(),
                            .mLoadKnown = aChoice.mLoadKnown,
                            .mFullness = aChoice.mFullness });
}

void
Exchange::RefuseAsLate(const UpstreamChoice& aChoice, Duration aRetryAfter)
{
  mCore.mCounters.Add(observe::CounterId::kRefusedLate);
  mCore.mLogger.Log(observe::EventId::kRequestRefused,
                    { { "request", mId },
                      { "reason", "late" },
                      { "service", mService },
                      { "upstream", aChoice.mName },
                      { "expected_ms", aChoice.mExpectedFirstEvent },
                      { "objective_ms", mRoute->mTargetLatency },
                      { "wait_ms", aChoice.mWait },
                      { "reads", aChoice.mPrefillTokens },
                      { "fullness", aChoice.mFullness },
                      { "candidates", aChoice.mCandidates },
                      { "asked_ms", mCore.mNow() - mArrivedAt },
                      { "come_back_ms", aRetryAfter } });
  SendLocalResponse(kUnavailable,
                    "upstreams are behind",
                    std::chrono::duration<double>(aRetryAfter).count());
}

std::uint64_t
Exchange::EngineCacheTokens() const
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
Exchange::ReportPrefillDone()
{
  if (!mSent.IsPrefilling()) {
    return;
  }
  const TimePoint now = mCore.mNow();
  const bool isEvidence = mCore.mSelector.RecordFirstEvent(mSent, now);
  const auto observation = ObservePrefill(now);
  // By priority, also short prompts count, so all their ends are reported.
  const bool isReported = isEvidence || SharesCapacity();
  if (isReported && mCoordinator) {
    mCore.mSendToEntry(
      *mCoordinator, PrefillDoneReport{ mUpstream, mLoadSendId, observation });
  }
}

// Returns true iff the upstream is newly ejected or gone because of this
// result.
bool
Exchange::TellEnded(SendResult aResult)
{
  if (const auto coordinator = std::exchange(mCoordinator, std::nullopt)) {
    mCore.mSendToEntry(
      *coordinator,
      SendEndedReport{ .mUpstream = mUpstream,
                       .mSendId = mLoadSendId,
                       .mPrefillDone = !mSent.IsPrefilling(),
                       .mFailed = IsFailure(aResult),
                       .mRejected = aResult == SendResult::kFull,
                       .mObservation =
                         std::exchange(mEndObservation, std::nullopt),
                       .mUsedTokens = UsedTokens() });
  }
  return mCore.mSelector.RecordEnd(mSent, aResult, mCore.mNow());
}

} // namespace peridotspool::gateway
