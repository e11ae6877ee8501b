#include "gateway/GatewayCore.h"

#include "gateway/IncarnationProbe.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** Bounds the contents named in one log line. */
constexpr std::size_t kMaxLoggedContents = 8;
/** Bounds the parts of prompts named in one log line. */
constexpr std::size_t kMaxLoggedParts = 32;
/** Bounds the contents named in one report. Others are reported when they are
 * resubmitted later. */
constexpr std::size_t kMaxResubmitted = 16;

std::string
ContentsOf(const routing::UpstreamCrash& aEnded)
{
  std::string text;
  const std::size_t named = std::min(kMaxLoggedContents, aEnded.mLost.size());
  for (std::size_t i = 0; i < named; ++i) {
    text += (i == 0 ? "" : ",") + ToText(aEnded.mLost[i].mContent);
  }
  return text;
}

// Separates parts by commas and requests by semicolons.
std::string
PartsOf(const routing::UpstreamCrash& aEnded)
{
  std::string text;
  std::size_t named = 0;
  for (const routing::LostResponse& lost : aEnded.mLost) {
    for (std::size_t i = 0; i < lost.mParts.size(); ++i) {
      if (++named > kMaxLoggedParts) {
        return text;
      }
      text += (i == 0 ? "" : ",") + ToText(lost.mParts[i]);
    }
    text += ';';
  }
  return text;
}

} // namespace

void
GatewayCore::OnConnectionRefused(const routing::UpstreamIncarnation& aLife)
{
  if (const auto ended = mCrashWitness.Refused(aLife, mNow())) {
    OnUpstreamEnded(*ended);
  }
}

void
GatewayCore::OnUpstreamAlive(const routing::UpstreamIncarnation& aLife)
{
  for (const routing::LostResponse& response : mCrashWitness.Accepted(aLife)) {
    const routing::GateRequest request{ .mContent = response.mContent,
                                        .mParts = response.mParts,
                                        .mCustomer = response.mCustomer };
    for (const routing::RunEnded& report : mQuarantineGate.Answered(
           0, request, routing::AnswerEvidence::kComplete, mNow())) {
      mSendToLeader(report);
    }
  }
}

void
GatewayCore::OnUpstreamEnded(const routing::UpstreamCrash& aEnded)
{
  mCounters.Add(observe::CounterId::kUpstreamEnded);
  mLogger.Log(
    observe::EventId::kUpstreamEnded,
    { { "upstream", aEnded.mUpstream.mName },
      { "incarnation", aEnded.mUpstream.mIncarnation },
      { "shown_by",
        aEnded.mCrashEvidence == routing::CrashEvidence::kNewIncarnation
          ? "its next incarnation"
          : "a refused connection" },
      { "lost", aEnded.mLost.size() },
      { "contents", ContentsOf(aEnded) },
      { "parts", PartsOf(aEnded) } });
  mCrashReporter.Add(aEnded);
  ReportCrashes();
}

void
GatewayCore::RecordResubmitted(const ContentId& aContent)
{
  if (mResubmittedContents.size() < kMaxResubmitted) {
    mResubmittedContents.insert(aContent);
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
  for (const auto& [incarnation, address] : mCrashWitness.DueProbes(mNow())) {
    ProbeIncarnation(*this, incarnation, address);
  }
  mCrashReporter.Forget(mNow());
  ReportCrashes();
  ApplyGateTick(mQuarantineGate.Tick(mNow()));
}

void
GatewayCore::ApplyGateTick(const routing::GateActions& aTick)
{
  for (const routing::PermitRequest& ask : aTick.mPermitRequests) {
    mSendToLeader(ask);
  }
  for (const routing::RunEnded& ended : aTick.mEnded) {
    mSendToLeader(ended);
  }
  for (const routing::GateDecision& decided : aTick.mDecisions) {
    HandleGateDecision(decided);
  }
}

void
GatewayCore::HandleQuarantineUpdate(const routing::QuarantineUpdate& aTold)
{
  const std::uint64_t before = mQuarantineGate.KnownNumber();
  const routing::GateActions tick = mQuarantineGate.ApplyUpdate(aTold, mNow());
  if (mQuarantineGate.KnownNumber() != before) {
    mCounters.Set(observe::CounterId::kQuarantined,
                  mQuarantineGate.ListedCount());
    mLogger.Log(observe::EventId::kQuarantineTaken,
                { { "from", aTold.mFrom },
                  { "to", aTold.mTo },
                  { "changed", aTold.mLines.size() },
                  { "listed", mQuarantineGate.ListedCount() } });
  }
  ApplyGateTick(tick);
  ResumeStartupWaiters();
}

void
GatewayCore::HandleRolloutUpdate(const rollout::RolloutUpdate& aUpdate)
{
  const std::uint64_t before = mRollouts.Number();
  mRollouts.ApplyUpdate(aUpdate, mNow());
  if (mRollouts.Number() != before) {
    mLogger.Log(observe::EventId::kRolloutTaken,
                { { "number", mRollouts.Number() },
                  { "services", aUpdate.mServices.size() },
                  { "running", mRollouts.HasRunning() } });
  }
  ResumeStartupWaiters();
}

void
GatewayCore::HandlePermitResponse(const routing::PermitResponse& aAnswer)
{
  if (const auto decided = mQuarantineGate.OnPermitResponse(aAnswer)) {
    HandleGateDecision(*decided);
  }
}

void
GatewayCore::HandleGateDecision(const routing::GateDecision& aDecided)
{
  const auto waiting = mGateWaiters.find(aDecided.mTag);
  if (waiting != mGateWaiters.end()) {
    const auto call = std::move(waiting->second);
    mGateWaiters.erase(waiting);
    call(aDecided.mOutcome);
  }
}

} // namespace peridotspool::gateway
