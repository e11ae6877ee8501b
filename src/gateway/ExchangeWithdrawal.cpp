// Upstreams whose responses ask this entry to send them nothing.

#include "gateway/Exchange.h"
#include "peridotspool/limits/RetryAfter.h"

#include <algorithm>
#include <chrono>

namespace peridotspool::gateway {

namespace {

using limits::RetryAfterStatement;
using observe::CounterId;
using observe::EventId;

constexpr unsigned kMisdirected = 421;
constexpr unsigned kUnavailable = 503;
constexpr std::string_view kRetryAfterField = "retry-after";
constexpr std::string_view kDateField = "date";
constexpr std::string_view kLeaves = "1";
constexpr const char* kSource = "response";
/** Bounds the text of a field in the log. */
constexpr std::size_t kMaxLoggedBytes = 64;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(200);

std::chrono::sys_seconds
ToSeconds(std::int64_t aWallMicros)
{
  return std::chrono::floor<std::chrono::seconds>(
    std::chrono::sys_time<std::chrono::microseconds>(
      std::chrono::microseconds(aWallMicros)));
}

} // namespace

// What a late response to an earlier request states is as true as what the
// expected one does. A misdirected request was answered by another upstream.
void
Exchange::RecordWithdrawal(const ResponseHead& aHead)
{
  if (aHead.mStatus == kMisdirected) {
    return;
  }
  const bool leaves = FieldOf(aHead.mFields, mCore.mNames.mLeaving) == kLeaves;
  if (leaves) {
    mCore.RecordLeaving(mUpstream, mSent.mIncarnation, kSource);
  }
  Duration rest(0);
  if (aHead.mStatus == kUnavailable) {
    LogTurnedAway(aHead);
    rest = StatedRest(aHead);
    if (rest > Duration(0)) {
      mCore.RecordRest(mUpstream, mSent.mIncarnation, rest, kSource);
    }
  }
  if (leaves || rest > Duration(0)) {
    ReportToRelayingEntry(rest, leaves);
  }
}

Duration
Exchange::StatedRest(const ResponseHead& aHead)
{
  const RetryAfterStatement statement =
    limits::ParseRetryAfter(FieldsOf(aHead.mFields, kRetryAfterField),
                            FieldOf(aHead.mFields, kDateField),
                            ToSeconds(mCore.mWallClock()));
  if (statement.mKind == RetryAfterStatement::Kind::kInvalid) {
    mCore.mCounters.Add(CounterId::kRestInvalid);
  } else if (statement.mKind == RetryAfterStatement::Kind::kWait) {
    mCore.mCounters.Add(CounterId::kRestStated);
  }
  return statement.mWait;
}

// The upstream takes the relaying entry for the sender.
void
Exchange::ReportToRelayingEntry(Duration aRest, bool aLeaves)
{
  const Address* const peer =
    mConnection ? mConnection->RelayingPeer() : nullptr;
  if (peer == nullptr) {
    return;
  }
  const auto restMs = std::chrono::ceil<std::chrono::milliseconds>(aRest);
  mCore.mSendToEntry(*peer,
                     limits::WithdrawalReport{
                       .mUpstream = mUpstream,
                       .mIncarnation = mSent.mIncarnation,
                       .mRestMs = static_cast<std::uint32_t>(restMs.count()),
                       .mLeaves = aLeaves });
}

void
Exchange::LogTurnedAway(const ResponseHead& aHead)
{
  const bool notRun = !FieldOf(aHead.mFields, mCore.mNames.mNotRun).empty();
  const std::string_view retryAfter =
    FieldOf(aHead.mFields, kRetryAfterField).substr(0, kMaxLoggedBytes);
  mCore.mLogger.Log(EventId::kUpstreamTurnedAway,
                    { { "request", mId },
                      { "upstream", mUpstream },
                      { "incarnation", mSent.mIncarnation },
                      { "status", aHead.mStatus },
                      { "not_run", notRun },
                      { "retry_after", std::string(retryAfter) },
                      { "rest_left_ms", RestLeft() },
                      { "sent_age_ms", mCore.mNow() - mSent.mSentAt } });
}

Duration
Exchange::RestLeft() const
{
  const TimePoint now = mCore.mNow();
  const auto until =
    mCore.mSelector.Withdrawn().RestsUntil(mUpstream, mSent.mIncarnation, now);
  return until ? Duration(*until - now) : Duration(0);
}

bool
Exchange::AsksForRest() const
{
  return mHead.mStatus == kUnavailable && RestLeft() > Duration(0);
}

// Whatever was asked for while the connection was being established holds for
// this request too.
bool
Exchange::OnConnected()
{
  return mCore.mSelector.MayReceive(
    mUpstream, mSent.mIncarnation, mCore.mNow());
}

// A request that was never written costs no retry.
void
Exchange::OnSendCancelled()
{
  EndAttempt(SendResult::kNotSent);
  mCore.mCounters.Add(CounterId::kRetryUpstreamWithdrawn);
  mCore.mLogger.Log(EventId::kRequestRetried,
                    { { "request", mId },
                      { "upstream", mUpstream },
                      { "cause", "the upstream wants no requests" },
                      { "rest_left_ms", RestLeft() },
                      { "runs", mRuns },
                      { "refusals", mRefusals } });
  Dispatch();
}

Duration
Exchange::TimeUntil(TimePoint aRestEnd) const
{
  return std::max(kMinRetryAfter, aRestEnd - mCore.mNow());
}

double
Exchange::RefusalRetryAfter(double aElse) const
{
  const auto until =
    mCore.mSelector.AllRestUntil(mSelectionQuery, mCore.mNow());
  return until ? SpreadRetryAfter(TimeUntil(*until)) : aElse;
}

void
Exchange::RefuseForRest(TimePoint aUntil)
{
  const double retryAfter = SpreadRetryAfter(TimeUntil(aUntil));
  mCore.mCounters.Add(CounterId::kRefusedResting);
  mCore.mLogger.Log(
    EventId::kRequestRefused,
    { { "request", mId },
      { "reason", "upstreams_rest" },
      { "service", mService },
      { "rest_left_ms", aUntil - mCore.mNow() },
      { "asked_ms", mCore.mNow() - mArrivedAt },
      { "come_back_ms", static_cast<std::int64_t>(retryAfter * 1e3) } });
  SendLocalResponse(kUnavailable, "upstreams rest", retryAfter);
}

} // namespace peridotspool::gateway
