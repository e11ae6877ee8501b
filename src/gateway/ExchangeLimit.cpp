// Rate limits that upstreams state, and permits for sends to such upstreams.

#include "gateway/Exchange.h"
#include "peridotspool/limits/PermitTiming.h"

#include <boost/describe/enum_to_string.hpp>

#include <algorithm>
#include <utility>

namespace peridotspool::gateway {

namespace {

using limits::LimitChange;
using limits::PermitOutcome;
using limits::RateStatement;
using observe::CounterId;
using observe::EventId;

constexpr unsigned kMisdirected = 421;
constexpr unsigned kUnavailable = 503;
/** Bounds the text of an unreadable limit in the log. */
constexpr std::size_t kMaxLoggedBytes = 64;
/** After so many denials a request is sent to unlimited upstreams only. */
constexpr std::size_t kMaxPermitDenials = 4;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(200);
constexpr std::uint64_t kSpreadSteps = 1024;
/** A coordinator is told again that an upstream is brittle when what is known
 * of it is this old. */
constexpr Duration kBrittleReportAge = std::chrono::milliseconds(500);

} // namespace

// A misdirected request was answered by another upstream, whose limit isn't
// that of the intended one.
void
Exchange::RecordStatedLimit()
{
  if (mHead.mStatus == kMisdirected) {
    return;
  }
  const auto values = FieldsOf(mHead.mFields, mCore.mNames.mRateLimit);
  const RateStatement statement = limits::ParseRateStatement(values);
  const bool isGenuine = !FieldOf(mHead.mFields, mCore.mNames.mStamp).empty();
  const LimitChange change =
    mCore.mUpstreamLimits.RecordResponse({ .mUpstream = mUpstream,
                                           .mIncarnation = mSent.mIncarnation,
                                           .mSentAt = mSent.mSentAt,
                                           .mIsGenuine = isGenuine },
                                         statement,
                                         mCore.mNow());
  if (change == LimitChange::kInvalid) {
    LogInvalidLimit(values);
  } else if (change != LimitChange::kNone) {
    mCore.OnLimitChanged(mUpstream, "response");
  }
  switch (statement.mKind) {
    case RateStatement::Kind::kInvalid:
      mCore.mCounters.Add(CounterId::kLimitInvalid);
      return;
    case RateStatement::Kind::kLimit:
      mCore.mCounters.Add(CounterId::kLimitStated);
      ReportLimit(statement.mPerSecond);
      return;
    case RateStatement::Kind::kNone:
      if (isGenuine && mSendPermit && mSendPermit->mAllocatorId != 0) {
        ReportLimit(0.0);
      }
      return;
  }
}

void
Exchange::RecordBrittleness()
{
  if (mHead.mStatus == kMisdirected) {
    return;
  }
  const auto maxRejections =
    limits::ParseMaxRejections(FieldsOf(mHead.mFields, mCore.mNames.mBrittle));
  if (!maxRejections) {
    return;
  }
  const limits::BrittleState state{ .mUpstream = mUpstream,
                                    .mIncarnation = mSent.mIncarnation,
                                    .mMaxRejections = *maxRejections };
  const auto known = mCore.mBrittleUpstreams.StateOf(mUpstream, mCore.mNow());
  const bool isStale =
    !known || std::chrono::milliseconds(known->mAgeMs) >= kBrittleReportAge;
  if ((mCore.ApplyBrittleState(state) || isStale) && mCoordinator) {
    mCore.mSendToEntry(*mCoordinator, state);
  }
}

void
Exchange::LogInvalidLimit(const std::vector<std::string_view>& aValues)
{
  mCore.mLogger.Log(
    EventId::kUpstreamLimitInvalid,
    { { "upstream", mUpstream },
      { "request", mId },
      { "fields", aValues.size() },
      { "value", std::string(aValues.front().substr(0, kMaxLoggedBytes)) } });
}

void
Exchange::ReportLimit(double aPerSecond)
{
  if (mCoordinator) {
    mCore.mSendToEntry(*mCoordinator,
                       limits::LimitReport{ .mUpstream = mUpstream,
                                            .mIncarnation = mSent.mIncarnation,
                                            .mDomain = mUpstreamDomain,
                                            .mPerSecond = aPerSecond,
                                            .mReceipt = mSendPermit.value_or(
                                              limits::PermitReceipt{}) });
  }
}

// A request waits for permits of all upstreams together only as long as its
// response can still meet the objective, or can still be completed if it is
// sent again.
Duration
Exchange::MaxPermitWait(const UpstreamChoice& aChoice) const
{
  const TimePoint now = mCore.mNow();
  Duration left = TimeLeft() / 2;
  if (mRuns == 0 && mRoute->mTargetLatency > Duration(0)) {
    const Duration afterWait = aChoice.mExpectedFirstEvent - aChoice.mWait;
    left =
      std::min(left, mArrivedAt + mRoute->mTargetLatency - now - afterWait);
  }
  const Duration waited = mPermitRequestedAt == TimePoint()
                            ? Duration(0)
                            : Duration(now - mPermitRequestedAt);
  return std::clamp(std::min(left, limits::kMaxPermitWait - waited),
                    Duration(0),
                    Duration(limits::kMaxPermitWait));
}

// Sends the request, or asks for the permit that a limited upstream requires.
void
Exchange::SendIfPermitted(const UpstreamChoice& aChoice)
{
  const limits::KnownLimit* limit = mCore.mUpstreamLimits.Find(aChoice.mName);
  const bool isLimited =
    limit != nullptr && limit->mIncarnation == aChoice.mIncarnation;
  const limits::KnownLimit unlimited{ .mIncarnation = aChoice.mIncarnation,
                                      .mStatedAt = mCore.mNow() };
  if (!isLimited && aChoice.mBrittle) {
    limit = &unlimited;
  } else if (!isLimited) {
    mSendPermit.reset();
    mPermitRequestedAt = TimePoint();
    SendWhenSlotIsFree(aChoice);
    return;
  }
  const Duration maxWait = MaxPermitWait(aChoice);
  const auto coordinator =
    mCore.mCoordinators.CoordinatorOf(aChoice.mName, aChoice.mDomain);
  if (!coordinator || aChoice.mPermitWait > maxWait) {
    mCore.mCounters.Add(CounterId::kPermitNotAsked);
    LogPermitDecision(aChoice, "not asked", aChoice.mPermitWait);
    ChooseOther(aChoice.mName, std::max(kMinRetryAfter, aChoice.mPermitWait));
    return;
  }
  const limits::SendPermitRequest request = mCore.mPermitClient.Request(
    { .mUpstream = aChoice.mName,
      .mIncarnation = aChoice.mIncarnation,
      .mDomain = aChoice.mDomain,
      .mPriority = mCustomer != nullptr && mCustomer->mPriority
                     ? *mCustomer->mPriority
                     : mRoute->mPriority,
      .mMaxWait = maxWait },
    *limit,
    mCore.mNow());
  mPermitTag = request.mTag;
  mPermitCoordinator = *coordinator;
  if (mPermitRequestedAt == TimePoint()) {
    mPermitRequestedAt = mCore.mNow();
  }
  mPermitChoice = aChoice;
  const std::weak_ptr<Exchange> weak = weak_from_this();
  mCore.mPermitWaiters[mPermitTag] =
    [weak](const limits::PermitDecision& aDecision) {
      if (const auto self = weak.lock();
          self && self->mPermitTag == aDecision.mTag) {
        self->OnPermitDecision(aDecision);
      }
    };
  mCore.mSendToEntry(*coordinator, request);
}

void
Exchange::OnPermitDecision(const limits::PermitDecision& aDecision)
{
  mPermitTag = 0;
  const UpstreamChoice choice = mPermitChoice;
  LogPermitDecision(choice,
                    aDecision.mOutcome
                      ? boost::describe::enum_to_string(*aDecision.mOutcome, "")
                      : "no response",
                    aDecision.mRetryAfter);
  const bool isUsable =
    mCore.mSelector.MayReceive(choice.mName, choice.mIncarnation, mCore.mNow());
  if (aDecision.mOutcome == PermitOutcome::kGranted && isUsable) {
    mCore.mCounters.Add(CounterId::kPermitGranted);
    mSendPermit = aDecision.mReceipt;
    mPermitRequestedAt = TimePoint();
    SendTo(choice);
    return;
  }
  if (aDecision.mOutcome == PermitOutcome::kUnlimited && isUsable) {
    mSendPermit.reset();
    mPermitRequestedAt = TimePoint();
    SendTo(choice);
    return;
  }
  if (aDecision.mOutcome == PermitOutcome::kGranted) {
    mCore.mSendToEntry(mPermitCoordinator,
                       limits::SendPermitReturn{ .mUpstream = choice.mName,
                                                 .mTag = aDecision.mTag });
  }
  mCore.mCounters.Add(aDecision.mOutcome ? CounterId::kPermitDenied
                                         : CounterId::kPermitUnanswered);
  mCore.mSelector.SetPermitTime(choice.mName,
                                mCore.mNow() + aDecision.mRetryAfter);
  ChooseOther(choice.mName, aDecision.mRetryAfter);
}

void
Exchange::ChooseOther(const UpstreamName& aDenied, Duration aRetryAfter)
{
  mPermitRetryAfter =
    std::min(mPermitRetryAfter.value_or(aRetryAfter), aRetryAfter);
  mSelectionQuery.mWithoutPermit.insert(aDenied);
  mSelectionQuery.mAvoidLimited =
    mSelectionQuery.mWithoutPermit.size() >= kMaxPermitDenials;
  ChooseAndSend();
}

// Returns are spread over the expected wait, so that the refused requests don't
// all come back at the same time.
double
Exchange::SpreadRetryAfter(Duration aWait) const
{
  const double spread =
    1.0 + static_cast<double>(mSelectionQuery.mSeed % kSpreadSteps) /
            static_cast<double>(kSpreadSteps);
  return spread * std::chrono::duration<double>(aWait).count();
}

void
Exchange::RefuseForBrittleUpstreams()
{
  const double retryAfter = SpreadRetryAfter(kMinRetryAfter);
  mCore.mCounters.Add(CounterId::kRefusedBrittle);
  mCore.mLogger.Log(
    EventId::kRequestRefused,
    { { "request", mId },
      { "reason", "brittle_upstreams" },
      { "service", mService },
      { "asked_ms", mCore.mNow() - mArrivedAt },
      { "come_back_ms", static_cast<std::int64_t>(retryAfter * 1e3) } });
  SendLocalResponse(kUnavailable, "upstreams are full", retryAfter);
}

void
Exchange::RefuseForUpstreamLimit()
{
  const double retryAfter =
    SpreadRetryAfter(std::max(kMinRetryAfter, *mPermitRetryAfter));
  mCore.mCounters.Add(CounterId::kRefusedUpstreamLimit);
  mCore.mLogger.Log(
    EventId::kRequestRefused,
    { { "request", mId },
      { "reason", "upstream_limit" },
      { "service", mService },
      { "denied_by", mSelectionQuery.mWithoutPermit.size() },
      { "asked_ms", mCore.mNow() - mArrivedAt },
      { "come_back_ms", static_cast<std::int64_t>(retryAfter * 1e3) } });
  SendLocalResponse(kUnavailable, "upstreams are at their limits", retryAfter);
}

void
Exchange::LogPermitDecision(const UpstreamChoice& aChoice,
                            const char* aOutcome,
                            Duration aRetryAfter)
{
  const limits::KnownLimit* limit = mCore.mUpstreamLimits.Find(aChoice.mName);
  const TimePoint now = mCore.mNow();
  mCore.mLogger.Log(
    EventId::kSendPermitDecided,
    { { "request", mId },
      { "upstream", aChoice.mName },
      { "limit", limit == nullptr ? 0.0 : limit->mPerSecond },
      { "limit_age_ms",
        limit == nullptr ? Duration(-1000) : Duration(now - limit->mStatedAt) },
      { "outcome", aOutcome },
      { "coordinator", ToText(mPermitCoordinator) },
      { "expected_ms", aChoice.mPermitWait },
      { "waited_ms",
        mPermitRequestedAt == TimePoint()
          ? Duration(0)
          : Duration(now - mPermitRequestedAt) },
      { "retry_after_ms", aRetryAfter } });
}

void
Exchange::CancelPermit()
{
  if (mPermitTag == 0) {
    return;
  }
  mCore.mPermitWaiters.erase(mPermitTag);
  if (const auto cancelled =
        mCore.mPermitClient.Cancel(std::exchange(mPermitTag, 0))) {
    mCore.mSendToEntry(mPermitCoordinator, *cancelled);
  }
}

} // namespace peridotspool::gateway
