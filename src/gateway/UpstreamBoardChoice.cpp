// Which upstream a request goes to, by what the board believes.

#include "peridotspool/gateway/UpstreamBoard.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace peridotspool::gateway {

namespace {

/** In units of fullness: how much a crossing of domains costs. */
constexpr double kOtherDomainCost = 0.15;
/**
 * What a full engine costs a request that could go to an empty one: its memory
 * is short, and each step of its batch takes longer.
 */
constexpr Duration kFullTime = std::chrono::milliseconds(250);
/** Reading a prompt delays the request itself, and those that come meanwhile.
 */
constexpr int kReadingCost = 2;
constexpr Duration kOtherDomainTime = std::chrono::milliseconds(2);
constexpr Duration kSilentTime = std::chrono::seconds(2);
/** What a failed send costs, in time and in units of fullness: a repeat comes
 * late if it may come at all. */
constexpr Duration kFailedTime = std::chrono::seconds(3);
constexpr double kFailedCost = 3.0;
/** Fewer failures of 100 are as likely at any other upstream. */
constexpr std::uint32_t kFailingFrom = 20;
/**
 * Engines that differ by less are as good as each other. Which of them is taken
 * then follows from the request: a strict order would have all entries send to
 * the same one until they have heard of each other.
 */
constexpr Duration kSameTime = std::chrono::milliseconds(15);
/** Copying a prefix from its upstream's memory takes this part of reading it.
 */
constexpr double kCopyPart = 0.2;
/** Upstreams whose keepers are asked for one request. */
constexpr std::size_t kShortlist = 4;
/** Asked before a prompt is refused that none of those begins in time. */
constexpr std::size_t kLongShortlist = 8;
/** Orders the upstreams of a version that is tried on a few of them. */
constexpr std::uint64_t kTriedSeed = 1;

std::uint64_t
RendezvousWeight(std::uint64_t aAffinity, const std::string& aName)
{
  return XXH3_64bits_withSeed(aName.data(), aName.size(), aAffinity);
}

// Prompts that share nothing would all have the same order, and plain calls
// too.
std::uint64_t
OrderSeed(const ChooseQuestion& aQuestion)
{
  const PromptParts& prompt = aQuestion.mPrompt;
  if (prompt.mAffinity != 0) {
    return prompt.mAffinity;
  }
  return prompt.mOwn != 0 ? prompt.mOwn : aQuestion.mSeed;
}

} // namespace

std::vector<const UpstreamBoard::Belief*>
UpstreamBoard::Candidates(const ChooseQuestion& aQuestion,
                          TimePoint aNow,
                          bool aEjectedToo) const
{
  const auto fits = [&](const Belief& aBelief) {
    return aBelief.mReport.mService == aQuestion.mService &&
           TakesWork(aBelief) &&
           aQuestion.mVersions.Allows(aBelief.mReport.mVersion) &&
           (aEjectedToo || aBelief.mEjectedUntil <= aNow) &&
           !aQuestion.mTried.contains(aBelief.mReport.mName);
  };
  std::vector<const Belief*> candidates;
  for (const UpstreamName& name : aQuestion.mAmong) {
    const auto found = mBeliefs.find(name);
    if (found != mBeliefs.end() && fits(found->second)) {
      candidates.push_back(&found->second);
    }
  }
  if (!candidates.empty()) {
    return candidates;
  }
  for (const auto& [name, belief] : mBeliefs) {
    if (fits(belief)) {
      candidates.push_back(&belief);
    }
  }
  const std::size_t most = aQuestion.mVersions.mMaxUpstreams;
  if (most != 0 && candidates.size() > most) {
    // The same ones for all requests and at all entries.
    candidates = Ordered(std::move(candidates), kTriedSeed);
    candidates.resize(most);
  }
  return Ordered(std::move(candidates), OrderSeed(aQuestion));
}

std::vector<const UpstreamBoard::Belief*>
UpstreamBoard::Ordered(std::vector<const Belief*> aBeliefs,
                       std::uint64_t aSeed) const
{
  std::vector<std::pair<std::uint64_t, const Belief*>> ordered;
  ordered.reserve(aBeliefs.size());
  for (const Belief* belief : aBeliefs) {
    ordered.emplace_back(RendezvousWeight(aSeed, belief->mReport.mName.Value()),
                         belief);
  }
  std::sort(ordered.begin(), ordered.end(), std::greater<>());
  std::transform(ordered.begin(),
                 ordered.end(),
                 aBeliefs.begin(),
                 [](const auto& aPair) { return aPair.second; });
  return aBeliefs;
}

// With all ejected, a wrong belief must not turn away everything.
std::vector<const UpstreamBoard::Belief*>
UpstreamBoard::Candidates(const ChooseQuestion& aQuestion, TimePoint aNow) const
{
  auto candidates = Candidates(aQuestion, aNow, false);
  return candidates.empty() ? Candidates(aQuestion, aNow, true) : candidates;
}

// An entry sees few of the requests that an upstream has, so it asks the
// entries that keep account of all sends before it chooses.
std::vector<ShortlistedUpstream>
UpstreamBoard::Shortlist(const ChooseQuestion& aQuestion, TimePoint aNow) const
{
  std::vector<ShortlistedUpstream> shortlist;
  const auto candidates = Candidates(aQuestion, aNow);
  if (candidates.size() < 2) {
    return shortlist;
  }
  const std::size_t count = std::min(
    aQuestion.mLooksFurther ? kLongShortlist : kShortlist, candidates.size());
  for (std::size_t i = 0; i < count; ++i) {
    const membership::UpstreamReport& report = candidates[i]->mReport;
    shortlist.push_back({ .mName = report.mName, .mDomain = report.mDomain });
  }
  return shortlist;
}

bool
UpstreamBoard::HasPrompt(const ChooseQuestion& aQuestion)
{
  return aQuestion.mPrompt.Tokens() != 0 || aQuestion.mPrompt.mAffinity != 0;
}

// An upstream that fails a part of its requests answers fast, and so looks
// idle. With 68 entries before it each saw one of its failures every two
// seconds, and none saw four in a row: for as long as one of four upstreams
// failed all it got, a quarter of the calls failed. Its keeper sees all of
// them.
double
UpstreamBoard::FailingPart(const Belief& aBelief)
{
  return aBelief.mFailing < kFailingFrom ? 0.0 : aBelief.mFailing / 100.0;
}

// Null where nobody is known to keep more of it than the chosen one.
const UpstreamBoard::Belief*
UpstreamBoard::KeepsMost(const Belief& aChosen,
                         const ChooseQuestion& aQuestion,
                         TimePoint aNow) const
{
  const auto own = aQuestion.mKept.find(aChosen.mReport.mName);
  std::uint64_t most = own == aQuestion.mKept.end() ? 0 : own->second;
  const Belief* best = nullptr;
  for (const auto& [name, kept] : aQuestion.mKept) {
    const auto found = mBeliefs.find(name);
    if (kept > most && found != mBeliefs.end() && !found->second.mGone &&
        found->second.mEjectedUntil <= aNow) {
      best = &found->second;
      most = kept;
    }
  }
  return best;
}

// Where its keeper has not been heard, the first in a prefix's order is taken
// to keep the prefix, and another one to have to copy it.
std::uint64_t
UpstreamBoard::ReadsAt(const Belief& aBelief,
                       const ChooseQuestion& aQuestion,
                       std::size_t aRank,
                       TimePoint aNow) const
{
  const PromptParts& prompt = aQuestion.mPrompt;
  const auto copied = [](std::uint64_t aTokens) {
    return static_cast<std::uint64_t>(kCopyPart * static_cast<double>(aTokens));
  };
  const auto own = aQuestion.mKept.find(aBelief.mReport.mName);
  if (own == aQuestion.mKept.end()) {
    return prompt.mOwn + (aRank == 0 ? 0 : copied(prompt.mShared));
  }
  const Belief* source = KeepsMost(aBelief, aQuestion, aNow);
  const std::uint64_t there =
    source == nullptr ? own->second : aQuestion.mKept.at(source->mReport.mName);
  return prompt.Tokens() - std::min(prompt.Tokens(), there) +
         copied(there - own->second);
}

// Zero where nobody's keeper has answered for this request.
UpstreamBoard::Load
UpstreamBoard::MeanOfHeard(const std::vector<const Belief*>& aCandidates,
                           const ChooseQuestion& aQuestion,
                           TimePoint aNow) const
{
  Load mean;
  int heard = 0;
  for (const Belief* belief : aCandidates) {
    if (aQuestion.mKept.contains(belief->mReport.mName)) {
      const Load load = LoadOf(*belief, Load{}, aQuestion, aNow);
      mean.mWait += load.mWait;
      mean.mFullness += load.mFullness;
      ++heard;
    }
  }
  if (heard > 0) {
    mean.mWait /= heard;
    mean.mFullness /= heard;
  }
  return mean;
}

// An upstream of which nothing was heard in time is taken to have as much to do
// as those that were heard: taken for idle it would be preferred.
UpstreamBoard::Load
UpstreamBoard::LoadOf(const Belief& aBelief,
                      const Load& aUnheard,
                      const ChooseQuestion& aQuestion,
                      TimePoint aNow) const
{
  const double fullness = FullnessOf(aBelief, aNow);
  const Load own{ .mWait = std::max(aBelief.mReading.Wait(aNow),
                                    WaitForPlace(aBelief, fullness)),
                  .mFullness = fullness };
  if (aQuestion.mKept.contains(aBelief.mReport.mName)) {
    return own;
  }
  return { .mWait = std::max(own.mWait, aUnheard.mWait),
           .mFullness = std::max(own.mFullness, aUnheard.mFullness) };
}

// An engine reads one prompt after the other, whatever their priorities, so the
// choice goes by when the first event is expected: after the prompts that all
// entries have sent there, and the request's own.
std::size_t
UpstreamBoard::PickSoonest(const std::vector<const Belief*>& aCandidates,
                           const ChooseQuestion& aQuestion,
                           TimePoint aNow) const
{
  const Load unheard = MeanOfHeard(aCandidates, aQuestion, aNow);
  std::vector<Duration> times;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const Belief& belief = *aCandidates[i];
    const bool near = belief.mReport.mDomain == mOptions.mDomain;
    const Load load = LoadOf(belief, unheard, aQuestion, aNow);
    times.push_back(
      load.mWait +
      kReadingCost *
        TimeFor(aQuestion.mService, ReadsAt(belief, aQuestion, i, aNow)) +
      std::chrono::duration_cast<Duration>(load.mFullness * kFullTime) +
      (near ? Duration(0) : kOtherDomainTime) +
      std::chrono::duration_cast<Duration>(FailingPart(belief) * kFailedTime) +
      (belief.mSilent ? kSilentTime : Duration(0)));
  }
  const Duration soonest = *std::min_element(times.begin(), times.end());
  const auto same =
    std::find_if(times.begin(), times.end(), [&](Duration aOne) {
      return aOne <= soonest + kSameTime;
    });
  return static_cast<std::size_t>(same - times.begin());
}

std::size_t
UpstreamBoard::PickLeastFull(const std::vector<const Belief*>& aCandidates,
                             const ChooseQuestion& aQuestion,
                             TimePoint aNow) const
{
  const Load unheard = MeanOfHeard(aCandidates, aQuestion, aNow);
  std::size_t best = 0;
  double bestCost = 0.0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const Belief& belief = *aCandidates[i];
    const bool near = belief.mReport.mDomain == mOptions.mDomain;
    const double cost = LoadOf(belief, unheard, aQuestion, aNow).mFullness +
                        (near ? 0.0 : kOtherDomainCost) +
                        FailingPart(belief) * kFailedCost;
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
  if (const Belief* source = KeepsMost(aChosen, aQuestion, aNow)) {
    return source->mReport.mAddress;
  }
  const auto kept = aQuestion.mKept.find(aChosen.mReport.mName);
  if (kept != aQuestion.mKept.end() &&
      kept->second >= aQuestion.mPrompt.mShared) {
    return std::nullopt;
  }
  const Belief* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const auto& [name, belief] : mBeliefs) {
    const bool there =
      !belief.mGone && !belief.mSilent && belief.mEjectedUntil <= aNow &&
      belief.mReport.mStage != membership::UpstreamStage::kGone;
    if (&belief == &aChosen || !there ||
        belief.mReport.mService != aQuestion.mService ||
        belief.mReport.mVersion != aChosen.mReport.mVersion) {
      continue;
    }
    const std::uint64_t weight =
      RendezvousWeight(aQuestion.mPrompt.mAffinity, name.Value());
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
  const auto candidates = Candidates(aQuestion, aNow);
  if (candidates.empty()) {
    return std::nullopt;
  }
  const std::size_t picked = HasPrompt(aQuestion) && !aQuestion.mLeastFull
                               ? PickSoonest(candidates, aQuestion, aNow)
                               : PickLeastFull(candidates, aQuestion, aNow);
  const Belief& belief = *candidates[picked];
  const std::uint64_t reads = ReadsAt(belief, aQuestion, picked, aNow);
  const Load load =
    LoadOf(belief, MeanOfHeard(candidates, aQuestion, aNow), aQuestion, aNow);
  const ReadRate rate = RateOf(aQuestion.mService);
  return UpstreamChoice{
    .mName = belief.mReport.mName,
    .mIncarnation = belief.mReport.mIncarnation,
    .mAddress = belief.mReport.mAddress,
    .mDomain = belief.mReport.mDomain,
    .mVersion = belief.mReport.mVersion,
    .mFullness = load.mFullness,
    .mWait = load.mWait,
    .mReads = reads,
    .mExpected = load.mWait + rate.TimeFor(reads) + rate.UntilFirst(),
    .mRank = picked,
    .mCandidates = candidates.size(),
    .mNeighbour = aQuestion.mPrompt.mAffinity != 0
                    ? NeighbourOf(belief, aQuestion, aNow)
                    : std::nullopt,
    .mNear = belief.mReport.mDomain == mOptions.mDomain,
    .mHeard = aQuestion.mKept.contains(belief.mReport.mName),
    .mReportAge = belief.mReportedAt
                    ? std::optional(Duration(aNow - *belief.mReportedAt))
                    : std::nullopt,
  };
}

} // namespace peridotspool::gateway
