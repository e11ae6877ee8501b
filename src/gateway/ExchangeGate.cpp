// A request whose content has ended upstreams.

#include "gateway/Exchange.h"

#include <utility>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;
using observe::EventId;
using routing::GateOutcome;

/** The content is refused for as long as it comes; each return is in vain. */
constexpr double kComeBackRefused = 60.0;
/** By then another request of the content has shown what it does. */
constexpr double kComeBackNoTurn = 1.0;

constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;

} // namespace

// Returns true iff it may be sent now; OnGate follows where it has to wait.
bool
Exchange::PassGate()
{
  if (mTurn != 0) {
    return true;
  }
  const TimePoint now = mCore.mNow();
  const auto answer = mCore.mGate.Check(mContent, TimeLeft(), now);
  if (answer.mOutcome == GateOutcome::kAllowed) {
    return true;
  }
  if (answer.mOutcome != GateOutcome::kWaitsForPermit) {
    RefuseAtGate(answer.mOutcome);
    return false;
  }
  mGateTag = answer.mTag;
  mAtGateSince = now;
  const std::weak_ptr<Exchange> weak = weak_from_this();
  mCore.mAtGate[mGateTag] = [weak, tag = mGateTag](GateOutcome aOutcome) {
    if (const auto self = weak.lock()) {
      self->OnGate(tag, aOutcome);
    }
  };
  mCore.mTellLeader(answer.mPermitRequest);
  return false;
}

void
Exchange::OnGate(std::uint64_t aTag, GateOutcome aOutcome)
{
  mGateTag = 0;
  if (aOutcome == GateOutcome::kHasPermit) {
    mTurn = aTag;
    LogTurn("has it");
    GoOnFromGate();
  } else if (aOutcome == GateOutcome::kAllowed) {
    GoOnFromGate();
  } else {
    LogTurn("waited in vain");
    RefuseAtGate(aOutcome);
  }
}

// Whoever runs beside it may lose an answer by it: it goes where least runs.
void
Exchange::GoOnFromGate()
{
  mQuestion.mLeastFull = mTurn != 0;
  ChooseVersion();
  if (!AskKeepers()) {
    Place();
  }
}

void
Exchange::RefuseAtGate(GateOutcome aOutcome)
{
  const bool refused = aOutcome == GateOutcome::kRefused;
  const char* const reason = refused
                               ? "upstreams end under requests like this one"
                               : "its turn did not come";
  if (mBegun) {
    BreakOff(reason);
    return;
  }
  if (mRuns > 0) {
    AnswerOwn(kBadGateway, reason);
    return;
  }
  if (refused) {
    mCore.NoteCameAgain(mContent);
  }
  mCore.mCounters.Add(refused ? CounterId::kRefusedQuarantine
                              : CounterId::kRefusedNoTurn);
  mCore.mLogger.Log(EventId::kRequestRefused,
                    { { "request", mId },
                      { "reason", refused ? "quarantine" : "no_turn" },
                      { "content", ToText(mContent) },
                      { "service", mService },
                      { "quarantine", mCore.mGate.KnownNumber() },
                      { "asked_ms", mCore.mNow() - mArrivedAt } });
  AnswerOwn(kUnavailable, reason, refused ? kComeBackRefused : kComeBackNoTurn);
}

void
Exchange::LogTurn(const char* aOutcome)
{
  mCore.mLogger.Log(EventId::kTurnTaken,
                    { { "request", mId },
                      { "content", ToText(mContent) },
                      { "outcome", aOutcome },
                      { "waited_ms", mCore.mNow() - mAtGateSince } });
}

void
Exchange::LeaveGate()
{
  if (mGateTag != 0) {
    mCore.mAtGate.erase(mGateTag);
    mCore.mGate.Cancel(std::exchange(mGateTag, 0));
  }
  if (mTurn != 0) {
    mCore.mTellLeader(mCore.mGate.Ended(std::exchange(mTurn, 0)));
  }
}

// An upstream has answered it and goes on: whatever ended others was not the
// content.
void
Exchange::NoteAnswered()
{
  const auto ended =
    mCore.mGate.Answered(std::exchange(mTurn, 0), mContent, mCore.mNow());
  if (ended) {
    mCore.mTellLeader(*ended);
  }
}

} // namespace peridotspool::gateway
