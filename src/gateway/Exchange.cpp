#include "gateway/Exchange.h"

#include "peridotspool/gateway/TokenCounts.h"

#include <algorithm>
#include <utility>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;
using observe::EventId;

constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);
/** Too little time for another upstream to do anything with. */
constexpr Duration kLeastTimeLeft = std::chrono::milliseconds(30);
/** Prompts below this many tokens delay nobody at an engine. */
constexpr std::uint64_t kSmallPrompt = 3000;
constexpr double kComeBackSoon = 0.3;

constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;

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
  , mAskTimer(aCore.mIo)
{
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
  const bool isFirst = mRuns == 0 && mRefusals == 0;
  const bool knows = mCore.mStartPlan.KnowsEnough(mCore.mNow()) &&
                     mCore.mGate.Knows() && mCore.mRollouts.HasUpdate();
  if (isFirst && !knows && WaitForStart()) {
    return;
  }
  if (PassGate()) {
    GoOnFromGate();
  }
}

void
Exchange::Place()
{
  const TimePoint now = mCore.mNow();
  const auto choice = mCore.mBoard.Choose(mQuestion, now);
  if (choice) {
    const auto comeBack = RefusesLate(*choice);
    if (!comeBack) {
      SendTo(*choice);
    } else if (mQuestion.mLooksFurther) {
      RefuseLate(*choice, *comeBack);
    } else {
      mQuestion.mLooksFurther = true;
      Dispatch();
    }
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
Exchange::NoteChosen(const UpstreamChoice& aChoice)
{
  mUpstream = aChoice.mName;
  mUpstreamAddress = aChoice.mAddress;
  if (mRuns == 0 && mRefusals == 0) {
    mCore.mRollouts.RecordSent(mService);
  }
  mVersion = aChoice.mVersion;
  mPieces = 0;
  if (mCore.mRollouts.IsRollingOut(mService, mVersion)) {
    mCore.mCounters.Add(CounterId::kNewVersionSent);
  }
  mQuestion.mTried.insert(mUpstream);
  mHead = UpstreamHead{};
  mBody.clear();
  mEvents.DropRest();
}

void
Exchange::LogSent(const UpstreamChoice& aChoice)
{
  mCore.mLogger.Log(
    EventId::kRequestSent,
    { { "request", mId },
      { "content", ToText(mContent) },
      { "route", mRoute->mName },
      { "service", mService },
      { "upstream", mUpstream },
      { "upstream_version", mVersion },
      { "version_reason", mVersionReason },
      { "settings", mTable->Version() },
      { "fullness", aChoice.mFullness },
      { "rank", aChoice.mRank },
      { "candidates", aChoice.mCandidates },
      { "wait_ms", aChoice.mWait },
      { "reads", aChoice.mReads },
      { "read_ms", mSent.mReading },
      { "copies", aChoice.mNeighbour.has_value() },
      { "load_age_ms",
        aChoice.mReportAge ? *aChoice.mReportAge : Duration(-1000) },
      { "ask_ms", mAskTook },
      { "heard", aChoice.mHeard },
      { "runs", mRuns },
      { "refusals", mRefusals },
      { "prefix",
        std::string(FieldOf(mRequest.mFields, mCore.mNames.mPrefix)) },
      { "in_domain", aChoice.mNear } });
}

void
Exchange::SendTo(const UpstreamChoice& aChoice)
{
  const TimePoint now = mCore.mNow();
  NoteChosen(aChoice);
  mSent = mCore.mBoard.Sent(aChoice, now);
  TellSent(aChoice);
  LogSent(aChoice);
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
  if (TellEnded(aResult)) {
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

} // namespace peridotspool::gateway
