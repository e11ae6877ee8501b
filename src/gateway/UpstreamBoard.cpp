#include "peridotspool/gateway/UpstreamBoard.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** A silent upstream may be cut off from control alone; it comes last. */
constexpr double kSilentCost = 0.5;
constexpr std::uint32_t kMostDoublings = 6;
/** Prompts below this many tokens say nothing of what is read before them. */
constexpr std::uint64_t kTellingTokens = 3000;
/** The mean stay follows the last requests, of which each is a tenth of it. */
constexpr int kStaysInMean = 10;

} // namespace

UpstreamBoard::UpstreamBoard(UpstreamBoardOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

bool
UpstreamBoard::Take(const UpstreamName& aName,
                    const membership::KnownUpstream* aKnown,
                    TimePoint /*aNow*/)
{
  if (aKnown == nullptr) {
    mBeliefs.erase(aName);
    return false;
  }
  const auto [place, added] = mBeliefs.try_emplace(aName);
  Belief& belief = place->second;
  const bool restarted =
    !added && aKnown->mReport.mIncarnation > belief.mReport.mIncarnation;
  if (restarted) {
    // Whatever was believed, it was of a process that is gone.
    belief = Belief{};
  }
  belief.mReport = aKnown->mReport;
  belief.mSilent = aKnown->mSilent;
  return restarted;
}

// Null where the send was to an incarnation that is over: what becomes of it
// says nothing of the one that bears its name now.
UpstreamBoard::Belief*
UpstreamBoard::Find(const SentRequest& aSent)
{
  const auto found = mBeliefs.find(aSent.mName);
  return found != mBeliefs.end() &&
             found->second.mReport.mIncarnation == aSent.mIncarnation
           ? &found->second
           : nullptr;
}

void
UpstreamBoard::TakeLoad(const SentRequest& aSent,
                        std::uint32_t aRunning,
                        std::uint32_t aWaiting,
                        TimePoint aNow)
{
  if (Belief* belief = Find(aSent)) {
    belief->mReported = aRunning + aWaiting;
    belief->mInFlightAtReport = belief->mInFlight;
    belief->mReportedAt = aNow;
  }
}

void
UpstreamBoard::TakeKept(const LoadLine& aLine, TimePoint aNow)
{
  const auto found = mBeliefs.find(aLine.mUpstream);
  if (found == mBeliefs.end()) {
    return;
  }
  Belief& belief = found->second;
  belief.mReading.Take(std::chrono::microseconds(aLine.mWaitUs), aNow);
  belief.mFailing = aLine.mFailing;
  belief.mReported = aLine.mRunning;
  belief.mInFlightAtReport = belief.mInFlight;
  belief.mReportedAt = aNow;
}

ReadRate
UpstreamBoard::RateOf(const ServiceName& aService) const
{
  const auto rate = mRates.find(aService);
  return rate == mRates.end() ? ReadRate() : rate->second;
}

Duration
UpstreamBoard::TimeFor(const ServiceName& aService, std::uint64_t aTokens) const
{
  return RateOf(aService).TimeFor(aTokens);
}

bool
UpstreamBoard::TakesWork(const Belief& aBelief)
{
  return !aBelief.mGone &&
         aBelief.mReport.mStage == membership::UpstreamStage::kReady;
}

// A report is old when it arrives and says nothing of what was sent since; own
// sends since then are known exactly. Other entries' sends are not, which a
// report that is too old can no longer stand for.
double
UpstreamBoard::FullnessOf(const Belief& aBelief, TimePoint aNow) const
{
  double load = aBelief.mInFlight;
  if (aBelief.mReportedAt &&
      aNow - *aBelief.mReportedAt < mOptions.mReportAge) {
    const double since = static_cast<double>(aBelief.mInFlight) -
                         static_cast<double>(aBelief.mInFlightAtReport);
    load = std::max(load, aBelief.mReported + since);
  }
  const double slots = std::max<std::uint32_t>(1, aBelief.mReport.mSlots);
  return load / slots + (aBelief.mSilent ? kSilentCost : 0.0);
}

SentRequest
UpstreamBoard::Sent(const UpstreamChoice& aChoice, TimePoint aNow)
{
  SentRequest sent{ .mName = aChoice.mName,
                    .mIncarnation = aChoice.mIncarnation,
                    .mReads = aChoice.mReads,
                    .mSentAt = aNow };
  if (Belief* belief = Find(sent)) {
    ++belief->mInFlight;
    sent.mAlone = belief->mReading.Wait(aNow) == Duration(0);
    sent.mReading = TimeFor(belief->mReport.mService, aChoice.mReads);
    sent.mReadAt = belief->mReading.Add(sent.mReading, aNow);
  }
  return sent;
}

bool
UpstreamBoard::Began(SentRequest& aSent, TimePoint aNow)
{
  Belief* belief = Find(aSent);
  if (belief == nullptr || !aSent.IsReading()) {
    return false;
  }
  aSent.mBegunAt = aNow;
  if (aSent.mAlone) {
    mRates[belief->mReport.mService].Learn(aSent.mReads, aNow - aSent.mSentAt);
  }
  // Small prompts are let in before the others and show nothing of the queue.
  const bool tells = aSent.mReads >= kTellingTokens;
  if (tells) {
    belief->mReading.WasRead(aSent.mReadAt, aNow);
  }
  aSent.mReadAt = TimePoint();
  return tells;
}

bool
UpstreamBoard::Ended(const SentRequest& aSent,
                     SendResult aResult,
                     TimePoint aNow)
{
  Belief* const found = Find(aSent);
  if (found == nullptr) {
    return false;
  }
  Belief& belief = *found;
  if (aSent.IsReading()) {
    belief.mReading.Withdraw(aSent.mReading);
  }
  belief.mInFlight -= belief.mInFlight > 0 ? 1 : 0;
  switch (aResult) {
    case SendResult::kAnswered:
      LearnStay(belief, aSent, aNow);
      belief.mFailures = 0;
      belief.mEjections = 0;
      return false;
    case SendResult::kFull:
      // It is full for everybody: until its next report, take it as such.
      belief.mReported = std::max(belief.mReported, belief.mReport.mSlots);
      belief.mInFlightAtReport = belief.mInFlight;
      belief.mReportedAt = aNow;
      return false;
    case SendResult::kOther:
      belief.mGone = true;
      return true;
    case SendResult::kFailed:
      ++belief.mFailures;
      return belief.mFailures >= mOptions.mFailuresToEject &&
             Eject(belief, aNow);
    case SendResult::kBroken:
    case SendResult::kSilent:
      return Eject(belief, aNow);
  }
  return false;
}

// From its place in the batch on, so that waiting for one is no part of it.
void
UpstreamBoard::LearnStay(const Belief& aBelief,
                         const SentRequest& aSent,
                         TimePoint aNow)
{
  if (aSent.mBegunAt == TimePoint()) {
    return;
  }
  const Duration stay = aSent.mReading + (aNow - aSent.mBegunAt);
  const auto [mean, added] = mStays.try_emplace(aBelief.mReport.mService, stay);
  if (!added) {
    mean->second += (stay - mean->second) / kStaysInMean;
  }
}

// With more requests than places a prompt waits for as many ends as there are
// too many. An upstream that doesn't tell its places is taken to have one for
// each request.
Duration
UpstreamBoard::WaitForPlace(const Belief& aBelief, double aFullness) const
{
  const auto stay = mStays.find(aBelief.mReport.mService);
  const std::uint32_t slots = aBelief.mReport.mSlots;
  if (stay == mStays.end() || slots == 0 || aFullness < 1.0) {
    return Duration(0);
  }
  const double own = 1.0 / slots;
  return std::chrono::duration_cast<Duration>((aFullness - 1.0 + own) *
                                              stay->second);
}

bool
UpstreamBoard::Eject(Belief& aBelief, TimePoint aNow)
{
  const bool already = aBelief.mEjectedUntil > aNow;
  const std::uint32_t doublings = std::min(aBelief.mEjections, kMostDoublings);
  aBelief.mEjectedUntil =
    aNow + std::min(mOptions.mEjectForMost,
                    mOptions.mEjectFor * (std::int64_t{ 1 } << doublings));
  if (!already) {
    ++aBelief.mEjections;
  }
  aBelief.mFailures = 0;
  return !already;
}

std::size_t
UpstreamBoard::ReadyCount(const ServiceName& aService, TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(mBeliefs.begin(), mBeliefs.end(), [&](const auto& aPair) {
      return aPair.second.mReport.mService == aService &&
             TakesWork(aPair.second) && aPair.second.mEjectedUntil <= aNow;
    }));
}

Duration
UpstreamBoard::TimeToRead(const ServiceName& aService,
                          std::uint64_t aTokens) const
{
  const ReadRate rate = RateOf(aService);
  return rate.TimeFor(aTokens) + rate.UntilFirst();
}

rollout::ReadyByVersion
UpstreamBoard::ReadyVersions(const ServiceName& aService) const
{
  rollout::ReadyByVersion ready;
  for (const auto& [name, belief] : mBeliefs) {
    if (belief.mReport.mService == aService && TakesWork(belief)) {
      ++ready[belief.mReport.mVersion];
    }
  }
  return ready;
}

std::uint64_t
UpstreamBoard::RunningElsewhere(const ServiceName& aService,
                                const VersionName& aVersion) const
{
  std::uint64_t running = 0;
  for (const auto& [name, belief] : mBeliefs) {
    if (belief.mReport.mService == aService &&
        belief.mReport.mVersion != aVersion) {
      running += belief.mInFlight;
    }
  }
  return running;
}

std::map<ServiceName, std::uint64_t>
UpstreamBoard::Running() const
{
  std::map<ServiceName, std::uint64_t> running;
  for (const auto& [name, belief] : mBeliefs) {
    running[belief.mReport.mService] += belief.mInFlight;
  }
  return running;
}

std::uint32_t
UpstreamBoard::InFlight(const UpstreamName& aName) const
{
  const auto found = mBeliefs.find(aName);
  return found == mBeliefs.end() ? 0 : found->second.mInFlight;
}

bool
UpstreamBoard::IsReady(const UpstreamName& aName) const
{
  const auto found = mBeliefs.find(aName);
  return found != mBeliefs.end() && TakesWork(found->second);
}

} // namespace peridotspool::gateway
