// Bounds on what an upstream may send as a response, and their consequences.

#include "gateway/Exchange.h"
#include "peridotspool/base/TextCapacity.h"

#include <boost/describe/enum_to_string.hpp>

#include <utility>

namespace peridotspool::gateway {

namespace {

using limits::BrokenBound;
using limits::ResponseBound;
using observe::CounterId;
using observe::EventId;

CounterId
CounterOf(ResponseBound aBound)
{
  switch (aBound) {
    case ResponseBound::kNotHttp:
      return CounterId::kBoundNotHttp;
    case ResponseBound::kHeadBytes:
      return CounterId::kBoundHeadBytes;
    case ResponseBound::kHeadFields:
      return CounterId::kBoundHeadFields;
    case ResponseBound::kHeadTime:
      return CounterId::kBoundHeadTime;
    case ResponseBound::kInterimResponses:
      return CounterId::kBoundInterimResponses;
    case ResponseBound::kSkippedResponses:
      return CounterId::kBoundSkippedResponses;
    case ResponseBound::kSkippedBytes:
      return CounterId::kBoundSkippedBytes;
    case ResponseBound::kSkippedTime:
      return CounterId::kBoundSkippedTime;
    case ResponseBound::kFramingBytes:
      return CounterId::kBoundFramingBytes;
    case ResponseBound::kFramingFields:
      return CounterId::kBoundFramingFields;
    case ResponseBound::kFramingTime:
      return CounterId::kBoundFramingTime;
    case ResponseBound::kAnnouncedLength:
      return CounterId::kBoundAnnouncedLength;
    case ResponseBound::kBodyBytes:
      return CounterId::kBoundBodyBytes;
    case ResponseBound::kEventBytes:
      return CounterId::kBoundEventBytes;
    case ResponseBound::kEventTime:
      return CounterId::kBoundEventTime;
    case ResponseBound::kUpstreamMemory:
      return CounterId::kBoundUpstreamMemory;
    case ResponseBound::kTotalMemory:
      return CounterId::kBoundTotalMemory;
  }
  return CounterId::kBoundNotHttp;
}

/** Returns true iff a sound upstream may break the bound with a large response:
 * one such failure is no reason to eject it. */
bool
MaySoundUpstreamBreak(ResponseBound aBound)
{
  return aBound == ResponseBound::kAnnouncedLength ||
         aBound == ResponseBound::kUpstreamMemory ||
         aBound == ResponseBound::kTotalMemory;
}

} // namespace

void
Exchange::ApplyBound(const std::optional<BrokenBound>& aBroken)
{
  if (aBroken) {
    OnBoundBroken(*aBroken);
  }
}

// A body that is certain to be over the bound isn't read at all.
void
Exchange::CheckAnnouncedLength()
{
  const auto length = ReadNumber(FieldOf(mHead.mFields, "content-length"));
  if (!mIsStream && length) {
    ApplyBound(mGuard.CheckLength(*length));
  }
}

void
Exchange::LogBrokenBound(const BrokenBound& aBroken)
{
  mCore.mLogger.Log(
    EventId::kResponseBoundBroken,
    { { "request", mId },
      { "upstream", mUpstream },
      { "phase", boost::describe::enum_to_string(aBroken.mPhase, "") },
      { "bytes", aBroken.mBytes },
      { "time_ms", aBroken.mTime },
      { "bound", boost::describe::enum_to_string(aBroken.mBound, "") },
      { "route", mRoute->mName },
      { "begun", mBegun },
      { "runs", mRuns },
      { "held_bytes", mCore.mResponseBudget.Bytes() } });
}

// An upstream that breaks a bound in HTTP is alive, so this is no sign of a
// crash. It may have run the request, whatever the broken response states.
void
Exchange::OnBoundBroken(const BrokenBound& aBroken)
{
  if (mConnection) {
    mConnection->Drop();
  }
  ReleaseFirstEvents();
  if (mEnded) {
    return;
  }
  ++mRuns;
  mCore.mCounters.Add(CounterOf(aBroken.mBound));
  LogBrokenBound(aBroken);
  FreeText(mBody);
  if (aBroken.mBound == ResponseBound::kNotHttp) {
    // The process at the address may be another one by now: it is probed.
    RecordConnectionLoss({});
  } else {
    ReleasePermit();
  }
  EndAttempt(MaySoundUpstreamBreak(aBroken.mBound) ? SendResult::kFailed
                                                   : SendResult::kBroken);
  ApplyNextStep(AfterLostResponse(CurrentState()),
                "the upstream's answer is over a bound",
                CounterId::kRetryResponseBound);
}

void
Exchange::OnHeld(std::size_t aBytes)
{
  const std::size_t bytes =
    aBytes + mBody.size() + mEvents.Incomplete().size() + mHeldEvents.size();
  if (bytes == 0) {
    ReleaseHeldBytes();
    return;
  }
  if (mHeldTag == 0) {
    mHeldTag = ++mCore.mLastHeldTag;
    mCore.mResponseHolders[mHeldTag] =
      [weak = weak_from_this()](const BrokenBound& aBroken) {
        if (const auto self = weak.lock()) {
          self->OnBoundBroken(aBroken);
        }
      };
  }
  mCore.mResponseBudget.Set(mHeldTag, mUpstream, bytes);
  mCore.EnforceResponseBudget(mUpstream);
}

void
Exchange::ReleaseHeldBytes()
{
  if (const auto tag = std::exchange(mHeldTag, 0); tag != 0) {
    mCore.mResponseBudget.Remove(tag);
    mCore.mResponseHolders.erase(tag);
    mCore.mCounters.Set(CounterId::kResponseBytesHeld,
                        mCore.mResponseBudget.Bytes());
  }
}

} // namespace peridotspool::gateway
