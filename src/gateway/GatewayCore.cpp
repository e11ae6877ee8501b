#include "gateway/GatewayCore.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** Bounds the contents named in one log line. */
constexpr std::size_t kMaxLoggedContents = 8;
/** Bounds the contents named in one report. Others are reported when they are
 * resubmitted later. */
constexpr std::size_t kMaxResubmitted = 16;

std::string
ContentsOf(const routing::EndedLife& aEnded)
{
  std::string text;
  const std::size_t named = std::min(kMaxLoggedContents, aEnded.mLost.size());
  for (std::size_t i = 0; i < named; ++i) {
    text += (i == 0 ? "" : ",") + ToText(aEnded.mLost[i].mContent);
  }
  return text;
}

} // namespace

void
GatewayCore::OnConnectionRefused(const routing::UpstreamLife& aLife)
{
  if (const auto ended = mCrashWitness.Refused(aLife, mNow())) {
    OnUpstreamEnded(*ended);
  }
}

void
GatewayCore::OnUpstreamEnded(const routing::EndedLife& aEnded)
{
  mCounters.Add(observe::CounterId::kUpstreamEnded);
  mLogger.Log(observe::EventId::kUpstreamEnded,
              { { "upstream", aEnded.mLife.mName },
                { "incarnation", aEnded.mLife.mIncarnation },
                { "shown_by",
                  aEnded.mShownBy == routing::EndShownBy::kNextLife
                    ? "its next incarnation"
                    : "a refused connection" },
                { "lost", aEnded.mLost.size() },
                { "contents", ContentsOf(aEnded) } });
  mCrashReporter.Add(aEnded);
  ReportCrashes();
}

void
GatewayCore::RecordResubmitted(const ContentId& aContent)
{
  if (mCameAgain.size() < kMaxResubmitted) {
    mCameAgain.insert(aContent);
  }
}

void
GatewayCore::ReportCrashes()
{
  if (auto report = mCrashReporter.Report(mNow())) {
    mSendToLeader(std::move(*report));
  }
}

void
GatewayCore::TickQuarantine()
{
  mCrashReporter.Forget(mNow());
  ReportCrashes();
  ApplyGateTick(mQuarantineGate.Tick(mNow()));
}

void
GatewayCore::ApplyGateTick(const routing::GateTick& aTick)
{
  for (const routing::TurnAsk& ask : aTick.mAsks) {
    mSendToLeader(ask);
  }
  for (const routing::TurnEnded& ended : aTick.mEnded) {
    mSendToLeader(ended);
  }
  for (const routing::GateDecided& decided : aTick.mDecided) {
    HandleGateDecision(decided);
  }
}

void
GatewayCore::HandleQuarantineUpdate(const routing::QuarantineTold& aTold)
{
  const std::uint64_t before = mQuarantineGate.Known();
  const routing::GateTick tick = mQuarantineGate.Take(aTold, mNow());
  if (mQuarantineGate.Known() != before) {
    mCounters.Set(observe::CounterId::kQuarantined, mQuarantineGate.Listed());
    mLogger.Log(observe::EventId::kQuarantineTaken,
                { { "from", aTold.mFrom },
                  { "to", aTold.mTo },
                  { "changed", aTold.mLines.size() },
                  { "listed", mQuarantineGate.Listed() } });
  }
  ApplyGateTick(tick);
  ResumeStartupWaiters();
}

void
GatewayCore::HandleRolloutUpdate(const rollout::RolloutUpdate& aUpdate)
{
  const std::uint64_t before = mRollouts.Number();
  mRollouts.Take(aUpdate, mNow());
  if (mRollouts.Number() != before) {
    mLogger.Log(observe::EventId::kRolloutTaken,
                { { "number", mRollouts.Number() },
                  { "services", aUpdate.mServices.size() },
                  { "running", mRollouts.HasRunning() } });
  }
  ResumeStartupWaiters();
}

void
GatewayCore::HandlePermitResponse(const routing::TurnAnswer& aAnswer)
{
  if (const auto decided = mQuarantineGate.Take(aAnswer)) {
    HandleGateDecision(*decided);
  }
}

void
GatewayCore::HandleGateDecision(const routing::GateDecided& aDecided)
{
  const auto waiting = mGateWaiters.find(aDecided.mTag);
  if (waiting != mGateWaiters.end()) {
    const auto call = std::move(waiting->second);
    mGateWaiters.erase(waiting);
    call(aDecided.mOutcome);
  }
}

} // namespace peridotspool::gateway
