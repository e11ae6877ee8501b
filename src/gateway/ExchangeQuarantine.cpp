// Quarantine of requests whose content has crashed upstreams.

#include "gateway/Exchange.h"

#include <utility>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;
using observe::EventId;
using routing::GateOutcome;

/** The content stays refused as long as it is resubmitted, so an early retry is
 * useless. */
constexpr double kQuarantinedRetryAfterSeconds = 60.0;
/** By then another request with the content has shown its effect. */
constexpr double kNoPermitRetryAfterSeconds = 1.0;

constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;

} // namespace

// Returns true iff the request may be sent now. If it has to wait for the
// leader's permit, OnGateOutcome is called later.
bool
Exchange::RequestPermit()
{
  if (mPermit != 0 && !mCore.mQuarantineGate.IsRefused(mGateRequest)) {
    return true;
  }
  ReleasePermit();
  const TimePoint now = mCore.mNow();
  const auto answer =
    mCore.mQuarantineGate.Check(mGateRequest, TimeLeft(), now);
  if (answer.mOutcome == GateOutcome::kAllowed) {
    return true;
  }
  if (answer.mOutcome != GateOutcome::kWaitsForPermit) {
    RefuseQuarantined(answer.mOutcome,
                      answer.mRefused.value_or(mGateRequest.mContent));
    return false;
  }
  mGateTag = answer.mTag;
  mGateWaitStart = now;
  const std::weak_ptr<Exchange> weak = weak_from_this();
  mCore.mGateWaiters[mGateTag] = [weak, tag = mGateTag](GateOutcome aOutcome) {
    if (const auto self = weak.lock()) {
      self->OnGateOutcome(tag, aOutcome);
    }
  };
  mCore.mSendToLeader(answer.mPermitRequest);
  return false;
}

void
Exchange::OnGateOutcome(std::uint64_t aTag, GateOutcome aOutcome)
{
  mGateTag = 0;
  if (aOutcome == GateOutcome::kHasPermit) {
    mPermit = aTag;
    LogPermit("granted");
    ResumeAfterGate();
  } else if (aOutcome == GateOutcome::kAllowed) {
    ResumeAfterGate();
  } else {
    LogPermit("not granted");
    RefuseQuarantined(aOutcome, mGateRequest.mContent);
  }
}

// A request with a permit may crash its upstream and lose the responses of all
// requests that run there, so the least loaded upstream is preferred.
void
Exchange::ResumeAfterGate()
{
  mSelectionQuery.mPreferLeastFull = mPermit != 0;
  ChooseVersion();
  if (!QueryLoad()) {
    ChooseAndSend();
  }
}

void
Exchange::RefuseQuarantined(GateOutcome aOutcome, const ContentId& aRefused)
{
  const bool refused = aOutcome == GateOutcome::kRefused;
  const char* const reason = refused
                               ? "upstreams end under requests like this one"
                               : "its turn did not come";
  if (mBegun) {
    AbortResponse(reason);
    return;
  }
  if (mRuns > 0) {
    SendLocalResponse(kBadGateway, reason);
    return;
  }
  if (refused) {
    mCore.RecordResubmitted(aRefused);
  }
  mCore.mCounters.Add(refused ? CounterId::kRefusedQuarantine
                              : CounterId::kRefusedNoTurn);
  mCore.mLogger.Log(EventId::kRequestRefused,
                    { { "request", mId },
                      { "reason", refused ? "quarantine" : "no_turn" },
                      { "content", ToText(mGateRequest.mContent) },
                      { "refused", ToText(aRefused) },
                      { "service", mService },
                      { "quarantine", mCore.mQuarantineGate.KnownNumber() },
                      { "asked_ms", mCore.mNow() - mArrivedAt } });
  SendLocalResponse(kUnavailable,
                    reason,
                    refused ? kQuarantinedRetryAfterSeconds
                            : kNoPermitRetryAfterSeconds);
}

void
Exchange::LogPermit(const char* aOutcome)
{
  mCore.mLogger.Log(EventId::kTurnTaken,
                    { { "request", mId },
                      { "content", ToText(mGateRequest.mContent) },
                      { "outcome", aOutcome },
                      { "waited_ms", mCore.mNow() - mGateWaitStart } });
}

void
Exchange::LeaveQuarantineGate()
{
  if (mGateTag != 0) {
    mCore.mGateWaiters.erase(mGateTag);
    mCore.mQuarantineGate.Cancel(std::exchange(mGateTag, 0));
  }
  ReleasePermit();
}

void
Exchange::ReleasePermit()
{
  if (mPermit != 0) {
    mCore.mSendToLeader(mCore.mQuarantineGate.Ended(std::exchange(mPermit, 0)));
  }
}

// An upstream has responded and is still running, so the content is not what
// crashed other upstreams.
void
Exchange::RecordAnswered(routing::AnswerEvidence aEvidence)
{
  const auto reports = mCore.mQuarantineGate.Answered(
    std::exchange(mPermit, 0), mGateRequest, aEvidence, mCore.mNow());
  for (const routing::RunEnded& report : reports) {
    mCore.mSendToLeader(report);
  }
}

} // namespace peridotspool::gateway
