#include "gateway/GatewayCore.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** Contents named in one log line. */
constexpr std::size_t kMostNamed = 8;
/** Contents named in one report; the others' turn comes with the next. */
constexpr std::size_t kMostCameAgain = 16;

std::string
ContentsOf(const routing::EndedLife& aEnded)
{
  std::string text;
  const std::size_t named = std::min(kMostNamed, aEnded.mLost.size());
  for (std::size_t i = 0; i < named; ++i) {
    text += (i == 0 ? "" : ",") + ToText(aEnded.mLost[i].mContent);
  }
  return text;
}

} // namespace

void
GatewayCore::NoteRefused(const routing::UpstreamLife& aLife)
{
  if (const auto ended = mWitness.Refused(aLife, mNow())) {
    NoteEnded(*ended);
  }
}

void
GatewayCore::NoteEnded(const routing::EndedLife& aEnded)
{
  mCounters.Add(observe::CounterId::kUpstreamEnded);
  mLogger.Log(
    observe::EventId::kUpstreamEnded,
    { { "upstream", aEnded.mLife.mName },
      { "incarnation", aEnded.mLife.mIncarnation },
      { "shown_by",
        aEnded.mShownBy == routing::EndShownBy::kNextLife ? "its next life"
                                                          : "a refusal" },
      { "lost", aEnded.mLost.size() },
      { "contents", ContentsOf(aEnded) } });
  mCrashes.Add(aEnded);
  TellCrashes();
}

void
GatewayCore::NoteCameAgain(const ContentId& aContent)
{
  if (mCameAgain.size() < kMostCameAgain) {
    mCameAgain.insert(aContent);
  }
}

void
GatewayCore::TellCrashes()
{
  if (auto report = mCrashes.Report(mNow())) {
    mTellLeader(std::move(*report));
  }
}

void
GatewayCore::TickGate()
{
  mCrashes.Forget(mNow());
  TellCrashes();
  CarryOut(mGate.Tick(mNow()));
}

void
GatewayCore::CarryOut(const routing::GateTick& aTick)
{
  for (const routing::TurnAsk& ask : aTick.mAsks) {
    mTellLeader(ask);
  }
  for (const routing::TurnEnded& ended : aTick.mEnded) {
    mTellLeader(ended);
  }
  for (const routing::GateDecided& decided : aTick.mDecided) {
    Decide(decided);
  }
}

void
GatewayCore::TakeTold(const routing::QuarantineTold& aTold)
{
  const std::uint64_t before = mGate.Known();
  const routing::GateTick tick = mGate.Take(aTold, mNow());
  if (mGate.Known() != before) {
    mCounters.Set(observe::CounterId::kQuarantined, mGate.Listed());
    mLogger.Log(observe::EventId::kQuarantineTaken,
                { { "from", aTold.mFrom },
                  { "to", aTold.mTo },
                  { "changed", aTold.mLines.size() },
                  { "listed", mGate.Listed() } });
  }
  CarryOut(tick);
  WakeStarting();
}

void
GatewayCore::Take(const rollout::RolloutUpdate& aUpdate)
{
  const std::uint64_t before = mRollouts.Number();
  mRollouts.ApplyUpdate(aUpdate, mNow());
  if (mRollouts.Number() != before) {
    mLogger.Log(observe::EventId::kRolloutTaken,
                { { "number", mRollouts.Number() },
                  { "services", aUpdate.mServices.size() },
                  { "running", mRollouts.HasRunning() } });
  }
  WakeStarting();
}

void
GatewayCore::TakeTurn(const routing::TurnAnswer& aAnswer)
{
  if (const auto decided = mGate.Take(aAnswer)) {
    Decide(*decided);
  }
}

void
GatewayCore::Decide(const routing::GateDecided& aDecided)
{
  const auto waiting = mAtGate.find(aDecided.mTag);
  if (waiting != mAtGate.end()) {
    const auto call = std::move(waiting->second);
    mAtGate.erase(waiting);
    call(aDecided.mOutcome);
  }
}

} // namespace peridotspool::gateway
