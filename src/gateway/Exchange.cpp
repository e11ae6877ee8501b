#include "gateway/Exchange.h"

#include "peridotspool/gateway/TokenCounts.h"

#include <algorithm>
#include <utility>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;
using observe::EventId;

constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);
/** With less time left, another upstream could not do anything useful. */
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(30);
/** Prompts with fewer tokens do not delay other requests at an engine. */
constexpr std::uint64_t kSmallPromptTokens = 3000;
constexpr double kShortRetryAfterSeconds = 0.3;
constexpr std::size_t kMaxLoggedField = 64;

constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;

} // namespace

Exchange::Exchange(GatewayCore& aCore,
                   std::shared_ptr<CallerConnection> aCaller,
                   CallerRequest aRequest)
  : mCore(aCore)
  , mCaller(std::move(aCaller))
  , mRequest(std::move(aRequest))
  , mTable(aCore.mTable)
  , mId(FieldOf(mRequest.mFields, aCore.mNames.mRequestId))
  , mArrivedAt(aCore.mNow())
  , mDeadlineTimer(aCore.mIo)
  , mWaitTimer(aCore.mIo)
  , mLoadQueryTimer(aCore.mIo)
  , mOriginTimer(aCore.mIo)
{
}

Duration
Exchange::TimeLeft() const
{
  return std::max(Duration(0), mDeadline - mCore.mNow());
}

// A stream whose version is uncertain can't be resumed anywhere.
AttemptState
Exchange::CurrentState() const
{
  return AttemptState{ .mKind = mRoute->mKind,
                       .mResumable = mRoute->mResumable && (mOrigin || !mBegun),
                       .mRuns = mRuns,
                       .mMaxAttempts = mRoute->mMaxAttempts,
                       .mRefusals = mRefusals,
                       .mBegun = mBegun,
                       .mTimeLeft = TimeLeft() > kMinTimeLeft };
}

void
Exchange::Dispatch()
{
  const bool isFirst = mRuns == 0 && mRefusals == 0;
  const bool knows = mCore.mStartupPolicy.HasEnoughUpdates(mCore.mNow()) &&
                     mCore.mQuarantineGate.HasTable() &&
                     mCore.mRollouts.HasUpdate();
  if (isFirst && !knows && WaitForStartup()) {
    return;
  }
  if (RequestPermit()) {
    ResumeAfterGate();
  }
}

void
Exchange::ChooseAndSend()
{
  const TimePoint now = mCore.mNow();
  const auto choice = mCore.mSelector.Choose(mSelectionQuery, now);
  if (choice) {
    const auto retryAfter = LoadSheddingRetryAfter(*choice);
    if (!retryAfter) {
      SendIfPermitted(*choice);
    } else if (mSelectionQuery.mUseLongShortlist) {
      RefuseAsLate(*choice, *retryAfter);
    } else {
      mSelectionQuery.mUseLongShortlist = true;
      Dispatch();
    }
    return;
  }
  const bool isFull =
    mCore.mSelector.AreAllBrittleAndFull(mSelectionQuery, now);
  if (isFull && !mSelectionQuery.mUseLongShortlist) {
    mSelectionQuery.mUseLongShortlist = true;
    Dispatch();
    return;
  }
  const bool isLimited = mPermitRetryAfter.has_value();
  const auto restUntil = mCore.mSelector.AllRestUntil(mSelectionQuery, now);
  if (mRuns == 0 && mRefusals == 0 && !isLimited && !isFull && !restUntil &&
      WaitForStartup()) {
    return;
  }
  if (mBegun) {
    AbortResponse("no upstream left");
  } else if (mRuns > 0) {
    SendLocalResponse(kBadGateway, "no upstream left");
  } else if (restUntil) {
    RefuseForRest(*restUntil);
  } else if (isFull) {
    RefuseForBrittleUpstreams();
  } else if (isLimited) {
    RefuseForUpstreamLimit();
  } else if (mOrigin) {
    mCore.mCounters.Add(CounterId::kRefusedResumeVersion);
    SendLocalResponse(kUnavailable,
                      "no upstream of the stream's version",
                      kShortRetryAfterSeconds);
  } else {
    mCore.mCounters.Add(CounterId::kRefusedNoUpstream);
    SendLocalResponse(kUnavailable, "no upstream", kShortRetryAfterSeconds);
  }
}

void
Exchange::RecordChoice(const UpstreamChoice& aChoice)
{
  mUpstream = aChoice.mName;
  mUpstreamAddress = aChoice.mAddress;
  mUpstreamDomain = aChoice.mDomain;
  if (mRuns == 0 && mRefusals == 0) {
    mCore.mRollouts.RecordSent(mService);
  }
  mVersion = aChoice.mVersion;
  mEventBatches = 0;
  if (mCore.mRollouts.IsRollingOut(mService, mVersion)) {
    mCore.mCounters.Add(CounterId::kNewVersionSent);
  }
  mSelectionQuery.mTried.insert(mUpstream);
  mSelectionQuery.mUseLongShortlist = false;
  mExpected = aChoice.mExpected;
  mEndObservation.reset();
  mHead = ResponseHead{};
  mBody.clear();
  mEvents.StartResponse();
  mGuard = limits::ResponseGuard(
    mCore.mResponseBounds,
    limits::MaxArrivalTime(mRoute->mTargetLatency, mRoute->mTargetGap));
}

// A caller's field may be as long as its whole head.
std::string
Exchange::LoggedField(std::string_view aName) const
{
  return std::string(
    FieldOf(mRequest.mFields, aName).substr(0, kMaxLoggedField));
}

void
Exchange::LogSent(const UpstreamChoice& aChoice, bool aOnOpenConnection)
{
  const routing::SpeedEstimate speed =
    aChoice.mSpeed.value_or(routing::SpeedEstimate{});
  const limits::KnownLimit* limit = mCore.mUpstreamLimits.Find(mUpstream);
  const auto level = EngineLevel();
  mCore.mLogger.Log(
    EventId::kRequestSent,
    { { "request", mId },
      { "content", ToText(mGateRequest.mContent) },
      { "route", mRoute->mName },
      { "service", mService },
      { "upstream", mUpstream },
      { "upstream_version", mVersion },
      { "version_reason", mVersionReason },
      { "resumes", LoggedField(mCore.mNames.mResumes) },
      { "last_event",
        mEvents.LastId().empty() ? LoggedField(mCore.mNames.mLastEvent)
                                 : mEvents.LastId() },
      { "settings", mTable->Version() },
      { "fullness", aChoice.mFullness },
      { "rank", aChoice.mRank },
      { "candidates", aChoice.mCandidates },
      { "wait_ms", aChoice.mWait },
      { "reads", aChoice.mPrefillTokens },
      { "read_ms", mSent.mPrefillTime },
      { "copies", aChoice.mPrefixSource.has_value() },
      { "load_age_ms",
        aChoice.mReportAge ? *aChoice.mReportAge : Duration(-1000) },
      { "ask_ms", mLoadQueryTook },
      { "heard", aChoice.mLoadKnown },
      { "speed",
        mRoute->mSticky ? speed.mPrefillPercent : speed.mPlainPercent },
      { "speed_samples", speed.mSamples },
      { "stated", speed.mStated ? speed.mStated->mPercent : 0U },
      { "stated_age_ms", speed.mStated ? speed.mStated->mAgeMs : 0U },
      { "expected_ms", aChoice.mExpected.value_or(Duration(-1000)) },
      { "limit", limit == nullptr ? 0.0 : limit->mPerSecond },
      { "limit_age_ms",
        limit == nullptr ? Duration(-1000)
                         : Duration(mCore.mNow() - limit->mStatedAt) },
      { "permit", mSendPermit.has_value() },
      { "rest_left_ms", RestLeft() },
      { "connection", aOnOpenConnection ? "open" : "new" },
      { "runs", mRuns },
      { "refusals", mRefusals },
      { "prefix",
        std::string(FieldOf(mRequest.mFields, mCore.mNames.mPrefix)) },
      { "in_domain", aChoice.mInOwnDomain },
      { "level", level ? static_cast<int>(*level) : -1 },
      { "level_reason", LevelReason() },
      { "share_percent", SharePercent() } });
}

void
Exchange::SendTo(const UpstreamChoice& aChoice)
{
  const TimePoint now = mCore.mNow();
  RecordChoice(aChoice);
  mSent = mCore.mSelector.RecordSent(aChoice, now);
  ExcludeRateSample(aChoice);
  ReportSent(aChoice);
  DecideEngineUrgency(aChoice);
  std::string head = WriteUpstreamHead(
    mRequest,
    mCore.mNames,
    UpstreamRequestFields{
      .mCustomer = mCustomer == nullptr ? "" : mCustomer->mName.Value(),
      .mUpstream = mUpstream.Value(),
      .mDeadlineMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(TimeLeft())
          .count(),
      .mPriority = EngineLevel(),
      .mFetchFrom = aChoice.mPrefixSource,
      .mLastEvent = mEvents.LastId() });
  OutgoingRequest request{ .mHead = std::move(head),
                           .mBody = { shared_from_this(), &mRequest.mBody } };
  mConnection = mCore.mPool.Acquire(mUpstream, now);
  LogSent(aChoice, mConnection != nullptr);
  if (mConnection) {
    mConnection->Send(std::move(request), this);
    return;
  }
  mConnection = std::make_shared<UpstreamConnection>(mCore.mDialer, mUpstream);
  mConnection->Open({ .mName = aChoice.mName,
                      .mIncarnation = aChoice.mIncarnation,
                      .mAddress = aChoice.mAddress },
                    std::min(kConnectTimeout, TimeLeft()),
                    std::move(request),
                    this);
}

std::optional<unsigned>
Exchange::EnginePriority() const
{
  if (!mRoute->mSticky) {
    return std::nullopt;
  }
  const auto counts =
    ParseTokenCounts(FieldOf(mRequest.mFields, mCore.mNames.mTokenCounts));
  return counts && counts->mPrompt < kSmallPromptTokens ? 1U : 5U;
}

void
Exchange::EndAttempt(SendResult aResult)
{
  const TimePoint now = mCore.mNow();
  ReleaseHeldBytes();
  RecordCallTime(aResult);
  if (TellEnded(aResult)) {
    mCore.mCounters.Add(CounterId::kUpstreamEjected);
    mCore.mLogger.Log(EventId::kUpstreamEjected,
                      { { "upstream", mUpstream },
                        { "request", mId },
                        { "result", static_cast<int>(aResult) } });
  }
  if (mConnection) {
    const auto connection = std::exchange(mConnection, nullptr);
    const bool isPartitioned =
      mCore.mUpstreamPath.Path() == routing::UpstreamPath::kPartitioned;
    if (connection->RelayingPeer() != nullptr && !isPartitioned) {
      connection->Drop();
    }
    mCore.mPool.Release(connection, now);
  }
}

} // namespace peridotspool::gateway
