// Rate limits that upstreams state in their responses.

#include "gateway/Exchange.h"

namespace peridotspool::gateway {

namespace {

using limits::LimitChange;
using limits::RateStatement;
using observe::CounterId;
using observe::EventId;

constexpr unsigned kMisdirected = 421;
/** Bounds the text of an unreadable limit in the log. */
constexpr std::size_t kMaxLoggedBytes = 64;

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
  if (statement.mKind != RateStatement::Kind::kNone) {
    mCore.mCounters.Add(statement.mKind == RateStatement::Kind::kLimit
                          ? CounterId::kLimitStated
                          : CounterId::kLimitInvalid);
  }
  const LimitChange change = mCore.mUpstreamLimits.RecordResponse(
    { .mUpstream = mUpstream,
      .mIncarnation = mSent.mIncarnation,
      .mSentAt = mSent.mSentAt,
      .mIsGenuine = !FieldOf(mHead.mFields, mCore.mNames.mStamp).empty() },
    statement,
    mCore.mNow());
  if (change == LimitChange::kNone) {
    return;
  }
  if (change == LimitChange::kInvalid) {
    mCore.mLogger.Log(
      EventId::kUpstreamLimitInvalid,
      { { "upstream", mUpstream },
        { "request", mId },
        { "fields", values.size() },
        { "value", std::string(values.front().substr(0, kMaxLoggedBytes)) } });
    return;
  }
  mCore.mCounters.Set(CounterId::kUpstreamsLimited,
                      mCore.mUpstreamLimits.Count());
  mCore.mLogger.Log(EventId::kUpstreamLimitChanged,
                    { { "upstream", mUpstream },
                      { "incarnation", mSent.mIncarnation },
                      { "per_second", statement.mPerSecond },
                      { "ended", change == LimitChange::kEnded },
                      { "source", "response" },
                      { "request", mId },
                      { "status", mHead.mStatus } });
}

} // namespace peridotspool::gateway
