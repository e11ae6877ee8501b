#include "gateway/Exchange.h"

#include "peridotspool/base/Invariant.h"
#include "peridotspool/gateway/TokenCounts.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;
using observe::EventId;

constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);
/** Too little time for another upstream to do anything with. */
constexpr Duration kLeastTimeLeft = std::chrono::milliseconds(30);
/** A whole answer larger than this is not held, and so fails. */
constexpr std::size_t kMostHeld = 8U << 20;
constexpr Duration kSlowCheck = std::chrono::milliseconds(5);
/** Bytes that may wait for a slow caller before its upstream has to. */
constexpr std::size_t kMostQueued = 256U << 10;
/** Prompts below this many tokens delay nobody at an engine. */
constexpr std::uint64_t kSmallPrompt = 3000;
/** Another entry is as good at once. */
constexpr double kComeBackElsewhere = 0.05;
constexpr double kComeBackSoon = 0.3;
constexpr double kComeBackLater = 1.0;

constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;

bool
IsSuccess(unsigned aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

} // namespace

Exchange::Exchange(GatewayCore& aCore,
                   std::shared_ptr<CallerLink> aCaller,
                   CallerRequest aRequest)
  : mCore(aCore)
  , mCaller(std::move(aCaller))
  , mRequest(std::move(aRequest))
  , mTable(aCore.mTable)
  , mId(FieldOf(mRequest.mFields, aCore.mNames.mRequestId))
  , mArrivedAt(aCore.mNow())
  , mTimer(aCore.mIo)
  , mSlowTimer(aCore.mIo)
{
}

// Returns true iff the exchange waits for what the process lacks yet: GoOn
// follows when something has come, or the wait is over.
bool
Exchange::WaitForStart()
{
  const TimePoint now = mCore.mNow();
  const auto wait =
    mCore.mRefusing ? std::nullopt : mCore.mStartPlan.MayWait(mArrivedAt, now);
  if (!wait) {
    return false;
  }
  const std::weak_ptr<Exchange> weak = weak_from_this();
  const auto goOn = [weak] {
    if (const auto self = weak.lock(); self && self->mWaitsForStart) {
      self->GoOn();
    }
  };
  mWaitsForStart = true;
  mCore.mStarting.emplace_back(goOn);
  mSlowTimer.expires_after(*wait);
  mSlowTimer.async_wait([goOn](http::ErrorCode aError) {
    if (!aError) {
      goOn();
    }
  });
  return true;
}

void
Exchange::GoOn()
{
  mWaitsForStart = false;
  mSlowTimer.cancel();
  if (mTable) {
    Dispatch();
  } else {
    mTable = mCore.mTable;
    Start();
  }
}

void
Exchange::Start()
{
  if ((!mTable && WaitForStart()) || !Admit()) {
    return;
  }
  Duration wait = mRoute->mTimeout;
  if (const auto callers =
        ReadNumber(FieldOf(mRequest.mFields, mCore.mNames.mDeadline))) {
    wait = std::min(wait, Duration(std::chrono::milliseconds(*callers)));
  }
  mDeadline = mArrivedAt + wait;
  ChooseService();
  mCore.mBudget.TakeRequest(mService, mArrivedAt);
  mTimer.expires_after(wait);
  mTimer.async_wait([self = shared_from_this()](http::ErrorCode aError) {
    if (!aError && !self->mOver) {
      self->OnTimeout();
    }
  });
  AskQuota();
}

bool
Exchange::Admit()
{
  if (!mTable) {
    mCore.mCounters.Add(CounterId::kRefusedNotConfirmed);
    AnswerOwn(kUnavailable, "no settings yet", kComeBackLater);
    return false;
  }
  if (mCore.mRefusing || OutlivesProcess()) {
    mCore.mCounters.Add(CounterId::kRefusedDraining);
    AnswerOwn(kUnavailable, "stopping", kComeBackElsewhere);
    return false;
  }
  mRoute = mTable->Find(FieldOf(mRequest.mFields, "host"), mRequest.Path());
  if (mRoute == nullptr) {
    mCore.mCounters.Add(CounterId::kRefusedUnknownService);
    AnswerOwn(kNotFound, "no route");
    return false;
  }
  if (mTable->HasCustomers()) {
    mCustomer =
      mTable->CustomerOf(BearerOf(FieldOf(mRequest.mFields, "authorization")));
    if (mCustomer == nullptr && !mRoute->mPublic) {
      mCore.mCounters.Add(CounterId::kRefusedWrongKey);
      AnswerOwn(kUnauthorized, "unknown key");
      return false;
    }
  }
  if (mRoute->mSticky) {
    mQuestion.mAffinity =
      PrefixAffinity(FieldOf(mRequest.mFields, mCore.mNames.mPrefix));
  }
  return true;
}

bool
Exchange::OutlivesProcess() const
{
  const auto counts =
    ReadTokenCounts(FieldOf(mRequest.mFields, mCore.mNames.mTokenCounts));
  return mCore.mStopPlan && counts &&
         !mCore.mStopPlan->MayTake(LongestTime(*counts), mCore.mNow());
}

void
Exchange::ChooseService()
{
  std::uint64_t total = 0;
  for (const ServiceShare& share : mRoute->mShares) {
    total += share.mWeight;
  }
  // A checked table has no route without weight.
  PERIDOTSPOOL_INVARIANT(total > 0);
  std::uint64_t place = XXH3_64bits(mId.data(), mId.size()) % total;
  for (const ServiceShare& share : mRoute->mShares) {
    if (place < share.mWeight) {
      mService = share.mService;
      break;
    }
    place -= share.mWeight;
  }
  mQuestion.mService = mService;
}

Duration
Exchange::TimeLeft() const
{
  return std::max(Duration(0), mDeadline - mCore.mNow());
}

AttemptFacts
Exchange::Facts() const
{
  return AttemptFacts{ .mKind = mRoute->mKind,
                       .mResumable = mRoute->mResumable,
                       .mRuns = mRuns,
                       .mMaxAttempts = mRoute->mMaxAttempts,
                       .mRefusals = mRefusals,
                       .mBegun = mBegun,
                       .mTimeLeft = TimeLeft() > kLeastTimeLeft };
}

void
Exchange::Dispatch()
{
  const TimePoint now = mCore.mNow();
  const auto choice = mCore.mBoard.Choose(mQuestion, now);
  if (choice) {
    SendTo(*choice);
    return;
  }
  if (mRuns == 0 && mRefusals == 0 && WaitForStart()) {
    return;
  }
  if (mBegun) {
    BreakOff("no upstream left");
  } else if (mRuns > 0) {
    AnswerOwn(kBadGateway, "no upstream left");
  } else {
    mCore.mCounters.Add(CounterId::kRefusedNoUpstream);
    AnswerOwn(kUnavailable, "no upstream", kComeBackSoon);
  }
}

void
Exchange::SendTo(const UpstreamChoice& aChoice)
{
  const TimePoint now = mCore.mNow();
  mUpstream = aChoice.mName;
  mSentAt = now;
  mQuestion.mTried.insert(mUpstream);
  mHead = UpstreamHead{};
  mBody.clear();
  mEvents.DropRest();
  mCore.mBoard.Sent(mUpstream, now);
  mCore.mLogger.Log(
    EventId::kRequestSent,
    { { "request", mId },
      { "route", mRoute->mName },
      { "service", mService },
      { "upstream", mUpstream },
      { "settings", mTable->Version() },
      { "fullness", aChoice.mFullness },
      { "rank", aChoice.mRank },
      { "candidates", aChoice.mCandidates },
      { "load_age_ms",
        aChoice.mReportAge ? *aChoice.mReportAge : Duration(-1000) },
      { "runs", mRuns },
      { "refusals", mRefusals },
      { "prefix",
        std::string(FieldOf(mRequest.mFields, mCore.mNames.mPrefix)) },
      { "in_domain", aChoice.mNear } });
  std::string bytes = WriteForward(
    mRequest,
    mCore.mNames,
    ForwardTerms{
      .mCustomer = mCustomer == nullptr ? "" : mCustomer->mName.Value(),
      .mUpstream = mUpstream.Value(),
      .mDeadlineMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(TimeLeft())
          .count(),
      .mPriority = EnginePriority(),
      .mFetchFrom = aChoice.mNeighbour,
      .mLastEvent = mEvents.LastId() });
  mLink = mCore.mPool.Take(mUpstream, now);
  if (mLink) {
    mLink->Send(std::move(bytes), this);
    return;
  }
  mLink = std::make_shared<UpstreamLink>(mCore.mIo, mUpstream);
  mLink->Open(aChoice.mAddress,
              std::min(kConnectTimeout, TimeLeft()),
              std::move(bytes),
              this);
}

std::optional<unsigned>
Exchange::EnginePriority() const
{
  if (!mRoute->mSticky) {
    return std::nullopt;
  }
  const auto counts =
    ReadTokenCounts(FieldOf(mRequest.mFields, mCore.mNames.mTokenCounts));
  return counts && counts->mPrompt < kSmallPrompt ? 1U : 5U;
}

void
Exchange::EndSend(SendResult aResult)
{
  const TimePoint now = mCore.mNow();
  if (mCore.mBoard.Ended(mUpstream, aResult, now)) {
    mCore.mCounters.Add(CounterId::kUpstreamEjected);
    mCore.mLogger.Log(EventId::kUpstreamEjected,
                      { { "upstream", mUpstream },
                        { "request", mId },
                        { "result", static_cast<int>(aResult) } });
  }
  if (mLink) {
    const auto link = std::exchange(mLink, nullptr);
    mCore.mPool.Keep(link, now);
  }
}

void
Exchange::TakeLoad()
{
  const std::string_view load = FieldOf(mHead.mFields, mCore.mNames.mLoad);
  const std::size_t first = load.find(',');
  const std::size_t second = load.find(',', first + 1);
  if (first == std::string_view::npos || second == std::string_view::npos) {
    return;
  }
  const auto running = ReadNumber(load.substr(0, first));
  const auto waiting = ReadNumber(load.substr(first + 1, second - first - 1));
  if (running && waiting) {
    mCore.mBoard.TakeLoad(mUpstream,
                          static_cast<std::uint32_t>(*running),
                          static_cast<std::uint32_t>(*waiting),
                          mCore.mNow());
  }
}

bool
Exchange::SaysNotRun() const
{
  return mHead.mStatus == kMisdirected ||
         !FieldOf(mHead.mFields, mCore.mNames.mNotRun).empty();
}

// Upstreams echo the request's id. An answer that comes late, on a connection
// that already carries the next request, is known by it; without this check
// one caller would get another one's answer.
bool
Exchange::OnHead(UpstreamHead aHead)
{
  const std::string_view echoed =
    FieldOf(aHead.mFields, mCore.mNames.mRequestId);
  if (echoed != mId && !(echoed.empty() && mId.empty())) {
    mCore.mCounters.Add(CounterId::kCrossedPieceDropped);
    mCore.mLogger.Log(EventId::kCrossedPieceDropped,
                      { { "request", mId },
                        { "upstream", mUpstream },
                        { "answer_of", std::string(echoed) } });
    return false;
  }
  mHead = std::move(aHead);
  TakeLoad();
  mIsStream = mRoute->mKind == RequestKind::kStreaming &&
              IsSuccess(mHead.mStatus) &&
              !FieldOf(mHead.mFields, mCore.mNames.mStamp).empty();
  return true;
}

void
Exchange::OnBody(std::string aBytes)
{
  if (!mIsStream) {
    mBody += aBytes;
    if (mBody.size() > kMostHeld) {
      mLink->Drop();
      ++mRuns;
      EndSend(SendResult::kAnswered);
      Follow(NextStep::kFail,
             "the answer is over its bound",
             CounterId::kRefusedBound);
    }
    return;
  }
  RelayEvents(mEvents.Take(aBytes));
}

void
Exchange::RelayEvents(std::string_view aEvents)
{
  if (aEvents.empty()) {
    return;
  }
  const TimePoint now = mCore.mNow();
  if (!mBegun) {
    mBegun = true;
    mFirstEventAt = now;
    CountUsage();
    mCore.mCounters.Histogram(observe::HistogramId::kFirstTokenTime)
      .Observe(now - mArrivedAt);
    mCaller->Begin(WriteAnswerHead(mHead, std::nullopt, KeepAlive()));
  } else {
    mCore.mCounters.Histogram(observe::HistogramId::kTokenGap)
      .Observe(now - mLastEventAt);
    mWorstGap = std::max(mWorstGap, Duration(now - mLastEventAt));
  }
  mLastEventAt = now;
  mCaller->Piece(aEvents);
  WaitForCaller();
}

// A caller that reads slowly must not fill this instance's memory: its upstream
// waits, and with it only this one request.
void
Exchange::WaitForCaller()
{
  if (mOver || !mLink) {
    return;
  }
  if (mCaller->QueuedBytes() <= kMostQueued) {
    mLink->Resume();
    return;
  }
  mLink->Pause();
  mSlowTimer.expires_after(kSlowCheck);
  mSlowTimer.async_wait([self = shared_from_this()](http::ErrorCode aError) {
    if (!aError) {
      self->WaitForCaller();
    }
  });
}

void
Exchange::OnEnd()
{
  if (SaysNotRun()) {
    ++mRefusals;
    EndSend(mHead.mStatus == kMisdirected ? SendResult::kOther
                                          : SendResult::kFull);
    Follow(AfterNotRun(Facts()),
           "upstreams refused",
           CounterId::kRetryUpstreamRefused);
    return;
  }
  ++mRuns;
  if (mIsStream) {
    FinishStream();
    return;
  }
  FinishWhole();
}

void
Exchange::FinishStream()
{
  EndSend(SendResult::kAnswered);
  if (!mBegun) {
    mCaller->Begin(WriteAnswerHead(mHead, std::nullopt, KeepAlive()));
  }
  if (!mEvents.Rest().empty()) {
    mCaller->Piece(mEvents.Rest());
  }
  mCaller->Finish(KeepAlive());
  End(mHead.mStatus, "whole");
}

void
Exchange::FinishWhole()
{
  const bool stamped = !FieldOf(mHead.mFields, mCore.mNames.mStamp).empty();
  if (IsSuccess(mHead.mStatus) && !stamped) {
    EndSend(SendResult::kFailed);
    Follow(AfterLost(Facts()),
           "an answer without proof",
           CounterId::kRetryCrossedAnswer);
    return;
  }
  if (stamped) {
    CountUsage();
  }
  const bool failed = mHead.mStatus >= kFirstServerError;
  EndSend(failed ? SendResult::kFailed : SendResult::kAnswered);
  if (failed && AfterFailure(Facts()) == NextStep::kTryAnother &&
      mCore.mBudget.TakeRepeat(mService, mCore.mNow())) {
    mCore.mCounters.Add(CounterId::kRetryUpstreamRefused);
    Dispatch();
    return;
  }
  if (mBegun) {
    BreakOff("the upstream failed to go on");
    return;
  }
  std::string answer =
    WriteAnswerHead(mHead, mBody.size(), KeepAlive()) + mBody;
  mCaller->Answer(std::move(answer), KeepAlive());
  End(mHead.mStatus, "whole");
}

void
Exchange::OnBroken(const LinkFailure& aFailure)
{
  EndSend(SendResult::kBroken);
  mCore.mLogger.Log(EventId::kRequestRetried,
                    { { "request", mId },
                      { "upstream", mUpstream },
                      { "cause", aFailure.mReason },
                      { "may_have_run", aFailure.mMayHaveBeenSent },
                      { "reused", aFailure.mReused },
                      { "begun", mBegun } });
  if (!aFailure.mMayHaveBeenSent) {
    ++mRefusals;
    Follow(AfterNotRun(Facts()),
           "upstreams can't be reached",
           CounterId::kRetryConnectionBroken);
    return;
  }
  ++mRuns;
  Follow(AfterLost(Facts()),
         "the upstream's answer was lost",
         CounterId::kRetryConnectionBroken);
}

} // namespace peridotspool::gateway
