// Upstreams whose responses ask this entry to send them nothing.

#include "gateway/Exchange.h"
#include "peridotspool/limits/RetryAfter.h"

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
/** Bounds the text of a field in the log. */
constexpr std::size_t kMaxLoggedBytes = 64;

std::chrono::sys_seconds
ToSeconds(std::int64_t aWallMicros)
{
  return std::chrono::floor<std::chrono::seconds>(
    std::chrono::sys_time<std::chrono::microseconds>(
      std::chrono::microseconds(aWallMicros)));
}

} // namespace

// A misdirected request was answered by another upstream.
void
Exchange::RecordWithdrawal()
{
  if (mHead.mStatus == kMisdirected) {
    return;
  }
  if (FieldOf(mHead.mFields, mCore.mNames.mLeaving) == kLeaves) {
    mCore.RecordLeaving(mUpstream, mSent.mIncarnation);
  }
  if (mHead.mStatus == kUnavailable) {
    LogTurnedAway();
    RecordRest();
  }
}

void
Exchange::RecordRest()
{
  const RetryAfterStatement statement =
    limits::ParseRetryAfter(FieldsOf(mHead.mFields, kRetryAfterField),
                            FieldOf(mHead.mFields, kDateField),
                            ToSeconds(mCore.mWallClock()));
  switch (statement.mKind) {
    case RetryAfterStatement::Kind::kNone:
      return;
    case RetryAfterStatement::Kind::kInvalid:
      mCore.mCounters.Add(CounterId::kRestInvalid);
      return;
    case RetryAfterStatement::Kind::kWait:
      mCore.mCounters.Add(CounterId::kRestStated);
      mCore.RecordRest(mUpstream, mSent.mIncarnation, statement.mWait);
      return;
  }
}

void
Exchange::LogTurnedAway()
{
  const std::string_view retryAfter =
    FieldOf(mHead.mFields, kRetryAfterField).substr(0, kMaxLoggedBytes);
  mCore.mLogger.Log(EventId::kUpstreamTurnedAway,
                    { { "request", mId },
                      { "upstream", mUpstream },
                      { "incarnation", mSent.mIncarnation },
                      { "status", mHead.mStatus },
                      { "not_run", IsNotRun() },
                      { "retry_after", std::string(retryAfter) },
                      { "rest_left_ms", RestLeft() },
                      { "sent_age_ms", mCore.mNow() - mSent.mSentAt } });
}

Duration
Exchange::RestLeft() const
{
  const TimePoint now = mCore.mNow();
  const auto until =
    mCore.mWithdrawn.RestsUntil(mUpstream, mSent.mIncarnation, now);
  return until ? Duration(*until - now) : Duration(0);
}

} // namespace peridotspool::gateway
