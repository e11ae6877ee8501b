#include "peridotspool/gateway/UpstreamBoard.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace peridotspool::gateway {

namespace {

/** In units of fullness: how much a crossing of domains costs. */
constexpr double kOtherDomainCost = 0.15;
/** A silent upstream may be cut off from control alone; it comes last. */
constexpr double kSilentCost = 0.5;
constexpr std::uint32_t kMostDoublings = 6;

std::uint64_t
RendezvousWeight(std::uint64_t aAffinity, const std::string& aName)
{
  return XXH3_64bits_withSeed(aName.data(), aName.size(), aAffinity);
}

} // namespace

std::uint64_t
PrefixAffinity(std::string_view aParts)
{
  const std::size_t last = aParts.rfind(',');
  if (last == std::string_view::npos) {
    return 0;
  }
  return XXH3_64bits(aParts.data(), last) | 1;
}

UpstreamBoard::UpstreamBoard(UpstreamBoardOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

void
UpstreamBoard::Take(const UpstreamName& aName,
                    const membership::KnownUpstream* aKnown,
                    TimePoint /*aNow*/)
{
  if (aKnown == nullptr) {
    mBeliefs.erase(aName);
    return;
  }
  Belief& belief = mBeliefs[aName];
  belief.mReport = aKnown->mReport;
  belief.mSilent = aKnown->mSilent;
}

void
UpstreamBoard::TakeLoad(const UpstreamName& aName,
                        std::uint32_t aRunning,
                        std::uint32_t aWaiting,
                        TimePoint aNow)
{
  const auto found = mBeliefs.find(aName);
  if (found == mBeliefs.end()) {
    return;
  }
  found->second.mReported = aRunning + aWaiting;
  found->second.mInFlightAtReport = found->second.mInFlight;
  found->second.mReportedAt = aNow;
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

std::vector<const UpstreamBoard::Belief*>
UpstreamBoard::Candidates(const ChooseQuestion& aQuestion,
                          TimePoint aNow,
                          bool aEjectedToo) const
{
  std::vector<const Belief*> candidates;
  for (const auto& [name, belief] : mBeliefs) {
    if (belief.mReport.mService == aQuestion.mService && TakesWork(belief) &&
        (aEjectedToo || belief.mEjectedUntil <= aNow) &&
        !aQuestion.mTried.contains(name)) {
      candidates.push_back(&belief);
    }
  }
  const auto order = [&](const Belief* aOne) {
    return RendezvousWeight(aQuestion.mAffinity, aOne->mReport.mName.Value());
  };
  std::sort(candidates.begin(),
            candidates.end(),
            [&](const Belief* aLeft, const Belief* aRight) {
              return order(aLeft) > order(aRight);
            });
  return candidates;
}

// All entries order the upstreams of a prefix alike, without a message between
// them, so its tokens are read into one memory. When that upstream is full the
// next in the order takes over, for all entries alike.
std::size_t
UpstreamBoard::PickSticky(const std::vector<const Belief*>& aCandidates,
                          TimePoint aNow) const
{
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (FullnessOf(*aCandidates[i], aNow) < mOptions.mStickyFullness) {
      return i;
    }
  }
  return PickLeastFull(aCandidates, aNow);
}

std::size_t
UpstreamBoard::PickLeastFull(const std::vector<const Belief*>& aCandidates,
                             TimePoint aNow) const
{
  std::size_t best = 0;
  double bestCost = 0.0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const Belief& belief = *aCandidates[i];
    const bool near = belief.mReport.mDomain == mOptions.mDomain;
    const double cost =
      FullnessOf(belief, aNow) + (near ? 0.0 : kOtherDomainCost);
    if (i == 0 || cost < bestCost) {
      best = i;
      bestCost = cost;
    }
  }
  return best;
}

// Copying a prefix from one memory to another takes a tenth of the time that
// reading it again does. The first in the order that isn't chosen has it if it
// was used before the chosen one took over: because that one was full, or has
// only just come, or because the first is leaving.
std::optional<Address>
UpstreamBoard::NeighbourOf(const Belief& aChosen,
                           const ChooseQuestion& aQuestion,
                           TimePoint aNow) const
{
  const Belief* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const auto& [name, belief] : mBeliefs) {
    const bool there =
      !belief.mGone && !belief.mSilent && belief.mEjectedUntil <= aNow &&
      belief.mReport.mStage != membership::UpstreamStage::kGone;
    if (&belief == &aChosen || !there ||
        belief.mReport.mService != aQuestion.mService) {
      continue;
    }
    const std::uint64_t weight =
      RendezvousWeight(aQuestion.mAffinity, name.Value());
    if (best == nullptr || weight > bestWeight) {
      best = &belief;
      bestWeight = weight;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->mReport.mAddress);
}

std::optional<UpstreamChoice>
UpstreamBoard::Choose(const ChooseQuestion& aQuestion, TimePoint aNow) const
{
  auto candidates = Candidates(aQuestion, aNow, false);
  if (candidates.empty()) {
    // All are ejected: a wrong belief must not turn away everything.
    candidates = Candidates(aQuestion, aNow, true);
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const std::size_t picked = aQuestion.mAffinity != 0
                               ? PickSticky(candidates, aNow)
                               : PickLeastFull(candidates, aNow);
  const Belief& belief = *candidates[picked];
  return UpstreamChoice{
    .mName = belief.mReport.mName,
    .mAddress = belief.mReport.mAddress,
    .mFullness = FullnessOf(belief, aNow),
    .mRank = picked,
    .mCandidates = candidates.size(),
    .mNeighbour = aQuestion.mAffinity != 0
                    ? NeighbourOf(belief, aQuestion, aNow)
                    : std::nullopt,
    .mNear = belief.mReport.mDomain == mOptions.mDomain,
    .mReportAge = belief.mReportedAt
                    ? std::optional(Duration(aNow - *belief.mReportedAt))
                    : std::nullopt,
  };
}

void
UpstreamBoard::Sent(const UpstreamName& aName, TimePoint /*aNow*/)
{
  const auto found = mBeliefs.find(aName);
  if (found != mBeliefs.end()) {
    ++found->second.mInFlight;
  }
}

bool
UpstreamBoard::Ended(const UpstreamName& aName,
                     SendResult aResult,
                     TimePoint aNow)
{
  const auto found = mBeliefs.find(aName);
  if (found == mBeliefs.end()) {
    return false;
  }
  Belief& belief = found->second;
  belief.mInFlight -= belief.mInFlight > 0 ? 1 : 0;
  switch (aResult) {
    case SendResult::kAnswered:
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
