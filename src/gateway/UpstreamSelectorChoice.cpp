// Selection of the upstream for a request.

#include "peridotspool/gateway/UpstreamSelector.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace peridotspool::gateway {

namespace {

/** Cost of crossing failure domains, in units of fullness. */
constexpr double kOtherDomainCost = 0.15;
/**
 * Cost of a full engine compared with an empty one: its memory is short, and
 * each step of its batch takes longer.
 */
constexpr Duration kFullEngineTime = std::chrono::milliseconds(250);
/** A prefill delays the request itself and those that arrive meanwhile. */
constexpr int kPrefillCostFactor = 2;
constexpr Duration kOtherDomainTime = std::chrono::milliseconds(2);
constexpr Duration kSilentTime = std::chrono::seconds(2);
/**
 * Cost of a failed send, as a time and in units of fullness: a retry comes
 * late, if it is permitted at all.
 */
constexpr Duration kFailedTime = std::chrono::seconds(3);
constexpr double kFailedCost = 3.0;
/** Cost of waiting a second for a permit, in units of fullness. */
constexpr double kPermitWaitCost = 4.0;
/** Lower failure percentages are as likely at any other upstream. */
constexpr std::uint32_t kMinFailurePercent = 20;
/**
 * Engines whose times differ by less count as equal, and the order that the
 * request gives decides. With a strict order all entries would send to the same
 * engine until they learn of each other's sends.
 */
constexpr Duration kEqualTimeTolerance = std::chrono::milliseconds(15);
/**
 * Time to copy a prefix from another upstream, as a fraction of its prefill
 * time.
 */
constexpr double kCopyTimeFraction = 0.2;
/** Number of upstreams whose coordinators are queried for one request. */
constexpr std::size_t kShortlistSize = 4;
/**
 * Number queried in a second attempt, if no upstream of the first shortlist can
 * start the prompt in time; only then is the prompt refused.
 */
constexpr std::size_t kLongShortlistSize = 8;
/**
 * Seed of the order that selects the upstreams of a version that only a few of
 * them are to serve.
 */
constexpr std::uint64_t kVersionSampleSeed = 1;

std::uint64_t
RendezvousWeight(std::uint64_t aAffinity, const std::string& aName)
{
  return XXH3_64bits_withSeed(aName.data(), aName.size(), aAffinity);
}

// Prompts without a shared prefix and plain calls need a seed of their own:
// with a common one, all of them would have the same order.
std::uint64_t
OrderSeed(const SelectionQuery& aQuery)
{
  const PromptParts& prompt = aQuery.mPrompt;
  if (prompt.mAffinity != 0) {
    return prompt.mAffinity;
  }
  return prompt.mOwnTokens != 0 ? prompt.mOwnTokens : aQuery.mSeed;
}

} // namespace

std::vector<const UpstreamSelector::TrackedUpstream*>
UpstreamSelector::Candidates(const SelectionQuery& aQuery,
                             TimePoint aNow,
                             bool aEjectedToo) const
{
  const auto fits = [&](const TrackedUpstream& aUpstream) {
    return aUpstream.mReport.mService == aQuery.mService &&
           AcceptsWork(aUpstream) && !RestsUntil(aUpstream, aNow) &&
           aQuery.mVersions.Allows(aUpstream.mReport.mVersion) &&
           (aEjectedToo || aUpstream.mEjectedUntil <= aNow) &&
           !aQuery.mTried.contains(aUpstream.mReport.mName) &&
           !(aQuery.mAvoidLimited && aUpstream.mPermitAt) &&
           !aQuery.mWithoutPermit.contains(aUpstream.mReport.mName);
  };
  std::vector<const TrackedUpstream*> candidates;
  for (const UpstreamName& name : aQuery.mShortlist) {
    const auto found = mTrackedUpstreams.find(name);
    if (found != mTrackedUpstreams.end() && fits(found->second)) {
      candidates.push_back(&found->second);
    }
  }
  if (!candidates.empty()) {
    return candidates;
  }
  for (const auto& [name, upstream] : mTrackedUpstreams) {
    if (fits(upstream)) {
      candidates.push_back(&upstream);
    }
  }
  const std::size_t most = aQuery.mVersions.mMaxUpstreams;
  if (most != 0 && candidates.size() > most) {
    // Selects the same upstreams for all requests on all entries.
    candidates = Ordered(std::move(candidates), kVersionSampleSeed);
    candidates.resize(most);
  }
  candidates = Ordered(std::move(candidates), OrderSeed(aQuery));
  std::stable_partition(
    candidates.begin(), candidates.end(), [&](const TrackedUpstream* aOne) {
      return PermitWait(*aOne, aNow) == Duration(0);
    });
  return candidates;
}

std::vector<const UpstreamSelector::TrackedUpstream*>
UpstreamSelector::Ordered(std::vector<const TrackedUpstream*> aUpstreams,
                          std::uint64_t aSeed) const
{
  std::vector<std::pair<std::uint64_t, const TrackedUpstream*>> ordered;
  ordered.reserve(aUpstreams.size());
  for (const TrackedUpstream* upstream : aUpstreams) {
    ordered.emplace_back(
      RendezvousWeight(aSeed, upstream->mReport.mName.Value()), upstream);
  }
  std::sort(ordered.begin(), ordered.end(), std::greater<>());
  std::transform(ordered.begin(),
                 ordered.end(),
                 aUpstreams.begin(),
                 [](const auto& aPair) { return aPair.second; });
  return aUpstreams;
}

// If all upstreams are ejected, tries them anyway: a wrong estimate must not
// cause all requests to be refused.
std::vector<const UpstreamSelector::TrackedUpstream*>
UpstreamSelector::Candidates(const SelectionQuery& aQuery, TimePoint aNow) const
{
  auto candidates = Candidates(aQuery, aNow, false);
  return candidates.empty() ? Candidates(aQuery, aNow, true) : candidates;
}

// An entry sees few of the requests of an upstream, so it queries the
// coordinators, which track all sends, before it chooses.
std::vector<ShortlistedUpstream>
UpstreamSelector::Shortlist(const SelectionQuery& aQuery, TimePoint aNow) const
{
  std::vector<ShortlistedUpstream> shortlist;
  const auto candidates = Candidates(aQuery, aNow);
  if (candidates.size() < 2) {
    return shortlist;
  }
  const std::size_t count =
    std::min(aQuery.mUseLongShortlist ? kLongShortlistSize : kShortlistSize,
             candidates.size());
  for (std::size_t i = 0; i < count; ++i) {
    const membership::UpstreamReport& report = candidates[i]->mReport;
    shortlist.push_back({ .mName = report.mName, .mDomain = report.mDomain });
  }
  return shortlist;
}

bool
UpstreamSelector::HasPrompt(const SelectionQuery& aQuery)
{
  return aQuery.mPrompt.Tokens() != 0 || aQuery.mPrompt.mAffinity != 0;
}

// An upstream that fails a part of its requests responds fast, and so looks
// idle. With 68 entries, each saw one failure every two seconds and none saw
// four in a row, so a quarter of the calls failed for as long as one of four
// upstreams failed every request. The coordinator of the upstream sees all
// failures.
double
UpstreamSelector::FailureFraction(const TrackedUpstream& aUpstream)
{
  return aUpstream.mFailurePercent < kMinFailurePercent
           ? 0.0
           : aUpstream.mFailurePercent / 100.0;
}

// Returns null if no upstream of the chosen one's version is known to cache
// more of the prompt than the chosen one.
const UpstreamSelector::TrackedUpstream*
UpstreamSelector::FindLongestCachedPrefix(const TrackedUpstream& aChosen,
                                          const SelectionQuery& aQuery,
                                          TimePoint aNow) const
{
  const auto own = aQuery.mCachedTokens.find(aChosen.mReport.mName);
  std::uint64_t most = own == aQuery.mCachedTokens.end() ? 0 : own->second;
  const TrackedUpstream* best = nullptr;
  for (const auto& [name, cached] : aQuery.mCachedTokens) {
    const auto found = mTrackedUpstreams.find(name);
    if (cached > most && found != mTrackedUpstreams.end() &&
        !found->second.mGone && found->second.mEjectedUntil <= aNow &&
        found->second.mReport.mVersion == aChosen.mReport.mVersion) {
      best = &found->second;
      most = cached;
    }
  }
  return best;
}

// Without a response of its coordinator, the first upstream in the affinity
// order is assumed to cache the prefix, and any other to have to copy it.
std::uint64_t
UpstreamSelector::TokensToPrefill(const TrackedUpstream& aUpstream,
                                  const SelectionQuery& aQuery,
                                  std::size_t aRank,
                                  TimePoint aNow) const
{
  const PromptParts& prompt = aQuery.mPrompt;
  const auto copied = [](std::uint64_t aTokens) {
    return static_cast<std::uint64_t>(kCopyTimeFraction *
                                      static_cast<double>(aTokens));
  };
  const auto own = aQuery.mCachedTokens.find(aUpstream.mReport.mName);
  if (own == aQuery.mCachedTokens.end()) {
    return prompt.mOwnTokens + (aRank == 0 ? 0 : copied(prompt.mSharedTokens));
  }
  const TrackedUpstream* source =
    FindLongestCachedPrefix(aUpstream, aQuery, aNow);
  const std::uint64_t there =
    source == nullptr ? own->second
                      : aQuery.mCachedTokens.at(source->mReport.mName);
  return prompt.Tokens() - std::min(prompt.Tokens(), there) +
         copied(there - own->second);
}

// Returns zero if no coordinator has responded for this request.
UpstreamSelector::Load
UpstreamSelector::MeanKnownLoad(
  const std::vector<const TrackedUpstream*>& aCandidates,
  const SelectionQuery& aQuery,
  TimePoint aNow) const
{
  Load mean;
  int known = 0;
  for (const TrackedUpstream* upstream : aCandidates) {
    if (aQuery.mCachedTokens.contains(upstream->mReport.mName)) {
      const Load load = LoadOf(*upstream, Load{}, aQuery, aNow);
      mean.mWait += load.mWait;
      mean.mFullness += load.mFullness;
      ++known;
    }
  }
  if (known > 0) {
    mean.mWait /= known;
    mean.mFullness /= known;
  }
  return mean;
}

// An upstream without a response in time is assumed to be at least as loaded as
// the mean of those with one. Treated as idle, it would be preferred.
UpstreamSelector::Load
UpstreamSelector::LoadOf(const TrackedUpstream& aUpstream,
                         const Load& aFallback,
                         const SelectionQuery& aQuery,
                         TimePoint aNow) const
{
  const double fullness = FullnessOf(aUpstream, aNow);
  const Load own{ .mWait = std::max({ aUpstream.mPrefillQueue.Wait(aNow),
                                      WaitForSlot(aUpstream, fullness, aNow),
                                      PermitWait(aUpstream, aNow) }),
                  .mFullness = fullness };
  if (aQuery.mCachedTokens.contains(aUpstream.mReport.mName)) {
    return own;
  }
  return { .mWait = std::max(own.mWait, aFallback.mWait),
           .mFullness = std::max(own.mFullness, aFallback.mFullness) };
}

// An engine prefills one prompt after the other, whatever their priorities. The
// choice therefore minimizes the expected time to the first event: after the
// prompts that all entries have sent there, and the request's own prefill.
std::size_t
UpstreamSelector::PickSoonest(
  const std::vector<const TrackedUpstream*>& aCandidates,
  const SelectionQuery& aQuery,
  TimePoint aNow) const
{
  const Load fallback = MeanKnownLoad(aCandidates, aQuery, aNow);
  std::vector<Duration> times;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const TrackedUpstream& upstream = *aCandidates[i];
    const bool near = upstream.mReport.mDomain == mOptions.mDomain;
    const Load load = LoadOf(upstream, fallback, aQuery, aNow);
    times.push_back(
      load.mWait +
      kPrefillCostFactor *
        AtOwnSpeed(upstream,
                   routing::WorkKind::kPrefill,
                   PrefillTime(aQuery.mService,
                               TokensToPrefill(upstream, aQuery, i, aNow)),
                   aNow) +
      std::chrono::duration_cast<Duration>(load.mFullness * kFullEngineTime) +
      (near ? Duration(0) : kOtherDomainTime) +
      std::chrono::duration_cast<Duration>(FailureFraction(upstream) *
                                           kFailedTime) +
      (upstream.mSilent ? kSilentTime : Duration(0)));
  }
  const Duration soonest = *std::min_element(times.begin(), times.end());
  const auto chosen =
    std::find_if(times.begin(), times.end(), [&](Duration aOne) {
      return aOne <= soonest + kEqualTimeTolerance;
    });
  return static_cast<std::size_t>(chosen - times.begin());
}

std::size_t
UpstreamSelector::PickLeastFull(
  const std::vector<const TrackedUpstream*>& aCandidates,
  const SelectionQuery& aQuery,
  TimePoint aNow) const
{
  const Load fallback = MeanKnownLoad(aCandidates, aQuery, aNow);
  std::size_t best = 0;
  double bestCost = 0.0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const TrackedUpstream& upstream = *aCandidates[i];
    const bool near = upstream.mReport.mDomain == mOptions.mDomain;
    const double cost =
      LoadOf(upstream, fallback, aQuery, aNow).mFullness +
      (near ? 0.0 : kOtherDomainCost) +
      FailureFraction(upstream) * kFailedCost +
      kPermitWaitCost *
        std::chrono::duration<double>(PermitWait(upstream, aNow)).count();
    if (i == 0 || cost < bestCost) {
      best = i;
      bestCost = cost;
    }
  }
  return best;
}

// Copying a prefix between engines takes a tenth of the time of a new prefill.
// The first other upstream in the affinity order holds the prefix if it was
// used before the chosen one took over, which happens because the first was
// full, because the chosen one has only just joined, or because the first is
// draining.
std::optional<Address>
UpstreamSelector::PrefixSourceFor(const TrackedUpstream& aChosen,
                                  const SelectionQuery& aQuery,
                                  TimePoint aNow) const
{
  if (const TrackedUpstream* source =
        FindLongestCachedPrefix(aChosen, aQuery, aNow)) {
    return source->mReport.mAddress;
  }
  const auto cached = aQuery.mCachedTokens.find(aChosen.mReport.mName);
  if (cached != aQuery.mCachedTokens.end() &&
      cached->second >= aQuery.mPrompt.mSharedTokens) {
    return std::nullopt;
  }
  const TrackedUpstream* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const auto& [name, upstream] : mTrackedUpstreams) {
    const bool there =
      !upstream.mGone && !upstream.mSilent && upstream.mEjectedUntil <= aNow &&
      upstream.mReport.mStage != membership::UpstreamStage::kGone;
    if (&upstream == &aChosen || !there ||
        upstream.mReport.mService != aQuery.mService ||
        upstream.mReport.mVersion != aChosen.mReport.mVersion) {
      continue;
    }
    const std::uint64_t weight =
      RendezvousWeight(aQuery.mPrompt.mAffinity, name.Value());
    if (best == nullptr || weight > bestWeight) {
      best = &upstream;
      bestWeight = weight;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->mReport.mAddress);
}

bool
UpstreamSelector::AreAllBrittleAndFull(const SelectionQuery& aQuery,
                                       TimePoint aNow) const
{
  const auto candidates = Candidates(aQuery, aNow);
  return !candidates.empty() &&
         std::all_of(candidates.begin(),
                     candidates.end(),
                     [&](const TrackedUpstream* aOne) {
                       return IsBrittleAndFull(*aOne, aNow);
                     });
}

std::optional<UpstreamChoice>
UpstreamSelector::Choose(const SelectionQuery& aQuery, TimePoint aNow) const
{
  auto candidates = Candidates(aQuery, aNow);
  std::erase_if(candidates, [&](const TrackedUpstream* aOne) {
    return IsBrittleAndFull(*aOne, aNow);
  });
  if (candidates.empty()) {
    return std::nullopt;
  }
  PreferAccepting(candidates, aNow);
  const std::size_t picked =
    HasPrompt(aQuery) && !aQuery.mPreferLeastFull
      ? PickSoonest(candidates, aQuery, aNow)
    : aQuery.mPreferLeastFull || !LearnsSpeed(aQuery.mService)
      ? PickLeastFull(candidates, aQuery, aNow)
      : PickSoonestPlain(candidates, aQuery, aNow);
  const TrackedUpstream& upstream = *candidates[picked];
  const std::uint64_t prefillTokens =
    TokensToPrefill(upstream, aQuery, picked, aNow);
  const Load load =
    LoadOf(upstream, MeanKnownLoad(candidates, aQuery, aNow), aQuery, aNow);
  const PrefillRate rate = RateOf(aQuery.mService);
  UpstreamChoice choice{
    .mName = upstream.mReport.mName,
    .mIncarnation = upstream.mReport.mIncarnation,
    .mAddress = upstream.mReport.mAddress,
    .mDomain = upstream.mReport.mDomain,
    .mVersion = upstream.mReport.mVersion,
    .mFullness = load.mFullness,
    .mWait = load.mWait,
    .mBrittle = aNow < upstream.mBrittleUntil,
    .mPermitWait = PermitWait(upstream, aNow),
    .mPrefillTokens = prefillTokens,
    .mExpectedFirstEvent = load.mWait +
                           AtOwnSpeed(upstream,
                                      routing::WorkKind::kPrefill,
                                      rate.PrefillTime(prefillTokens),
                                      aNow) +
                           rate.FirstEventOverhead(),
    .mRank = picked,
    .mCandidates = candidates.size(),
    .mPrefixSource = aQuery.mPrompt.mAffinity != 0
                       ? PrefixSourceFor(upstream, aQuery, aNow)
                       : std::nullopt,
    .mInOwnDomain = upstream.mReport.mDomain == mOptions.mDomain,
    .mLoadKnown = aQuery.mCachedTokens.contains(upstream.mReport.mName),
    .mReportAge = upstream.mReportedAt
                    ? std::optional(Duration(aNow - *upstream.mReportedAt))
                    : std::nullopt,
  };
  AddSpeed(choice, upstream, aQuery, load, aNow);
  return choice;
}

} // namespace peridotspool::gateway
