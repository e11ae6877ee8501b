#include "peridotspool/routing/PartVerdict.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace peridotspool::routing {

namespace {

/** Consecutive crashes after which a part is suspected. */
constexpr std::uint32_t kCrashesToSuspect = 3;
/** A crash may be missing from the evidence of a part, as the entry that lost
 * the request failed as well. */
constexpr std::size_t kMissingReports = 2;

/** With fewer, a part isn't compared to others. */
constexpr std::size_t kMinCrashes = 2;

using Incarnations = std::set<UpstreamIncarnation>;

struct Candidate
{
  PromptPartId mPart;
  const PartCase* mCase = nullptr;
  Incarnations mCrashes;
};

std::uint32_t
CountUnexplained(const Candidate& aOne, const Incarnations& aExplained)
{
  return static_cast<std::uint32_t>(
    std::count_if(aOne.mCrashes.begin(),
                  aOne.mCrashes.end(),
                  [&](const UpstreamIncarnation& aCrash) {
                    return !aExplained.contains(aCrash);
                  }));
}

// Upstreams that crash at the same moment may have a common cause, such as a
// power failure. They hardly all run a part that is not popular, and a popular
// one has been answered before.
bool
IsSuspect(const Candidate& aOne, const PartVerdict& aVerdict)
{
  return aVerdict.mCounted >= kCrashesToSuspect ||
         (aVerdict.mCrashes >= kMaxPartCrashes &&
          (aVerdict.mCounted > 1 || !aOne.mCase->mAnsweredBefore));
}

PartVerdict
MakeVerdict(const Candidate& aOne,
            const Incarnations& aExplained,
            std::uint64_t aGroup)
{
  PartVerdict verdict{ .mCounted =
                         aOne.mCase->mEvidence.CountConsecutive(aExplained),
                       .mCrashes = CountUnexplained(aOne, aExplained),
                       .mGroup = aGroup };
  verdict.mStage = IsSuspect(aOne, verdict) ? QuarantineStage::kOneAtATime
                                            : QuarantineStage::kWatched;
  return verdict;
}

bool
IsSubset(const Incarnations& aInner, const Incarnations& aOuter)
{
  return std::includes(
    aOuter.begin(), aOuter.end(), aInner.begin(), aInner.end());
}

// Orders the most suspect parts first.
bool
IsMoreSuspect(const Candidate& aOne, const Candidate& aOther)
{
  const auto rank = [](const Candidate& aCandidate) {
    return std::tuple(aCandidate.mCase->mAnsweredBefore,
                      -static_cast<std::int64_t>(aCandidate.mCrashes.size()),
                      aCandidate.mPart);
  };
  return rank(aOne) < rank(aOther);
}

std::vector<Candidate>
RankedCandidates(const std::map<PromptPartId, PartCase>& aCases)
{
  std::vector<Candidate> candidates;
  for (const auto& [part, one] : aCases) {
    if (one.mEvidence.Crashes().size() >= kMinCrashes) {
      candidates.push_back({ .mPart = part,
                             .mCase = &one,
                             .mCrashes = one.mEvidence.Incarnations() });
    }
  }
  std::sort(candidates.begin(), candidates.end(), IsMoreSuspect);
  return candidates;
}

// Returns true iff the crashes of the one may be those of the other.
bool
AreAlike(const Candidate& aSuspect, const Candidate& aOther)
{
  return aOther.mCase->mAnsweredBefore == aSuspect.mCase->mAnsweredBefore &&
         aOther.mCrashes.size() + kMissingReports >= aSuspect.mCrashes.size() &&
         IsSubset(aOther.mCrashes, aSuspect.mCrashes);
}

// Returns true iff upstreams have crashed, from the first crash of the part to
// the last, that neither the part nor another suspect explains.
bool
HasOtherCauses(const Candidate& aSuspect,
               const Incarnations& aExplained,
               const std::vector<PromptCrash>& aCrashes)
{
  const auto& crashes = aSuspect.mCase->mEvidence.Crashes();
  return std::any_of(
    aCrashes.begin(), aCrashes.end(), [&](const PromptCrash& aOne) {
      return aOne.mLostAt >= crashes.front().mLostAt &&
             aOne.mLostAt <= crashes.back().mLostAt &&
             !aSuspect.mCrashes.contains(aOne.mUpstream) &&
             !aExplained.contains(aOne.mUpstream);
    });
}

} // namespace

std::map<PromptPartId, PartVerdict>
JudgeParts(const std::map<PromptPartId, PartCase>& aCases,
           const std::vector<PromptCrash>& aCrashes)
{
  std::map<PromptPartId, PartVerdict> verdicts;
  const std::vector<Candidate> candidates = RankedCandidates(aCases);
  Incarnations explained;
  for (auto suspect = candidates.begin(); suspect != candidates.end();
       ++suspect) {
    if (verdicts.contains(suspect->mPart)) {
      continue;
    }
    PartVerdict verdict = MakeVerdict(*suspect, explained, 0);
    if (verdict.mStage != QuarantineStage::kOneAtATime) {
      continue;
    }
    for (auto other = suspect + 1; other != candidates.end(); ++other) {
      if (!verdicts.contains(other->mPart) && AreAlike(*suspect, *other)) {
        verdict.mGroup = suspect->mPart.Value();
        verdicts[other->mPart] = MakeVerdict(*other, explained, verdict.mGroup);
      }
    }
    if (verdict.mGroup == 0 &&
        (verdict.mCounted >= kMaxPartCrashes ||
         (verdict.mCounted >= kCrashesToSuspect &&
          !HasOtherCauses(*suspect, explained, aCrashes)))) {
      verdict.mStage = QuarantineStage::kRefused;
    }
    verdicts[suspect->mPart] = verdict;
    explained.insert(suspect->mCrashes.begin(), suspect->mCrashes.end());
  }
  return verdicts;
}

} // namespace peridotspool::routing
