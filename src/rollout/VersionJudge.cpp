#include "peridotspool/rollout/VersionJudge.h"

#include "peridotspool/rollout/FigureScale.h"

#include <boost/describe/enum_to_string.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <vector>

namespace peridotspool::rollout {

namespace {

/** Chance that a sound version is ever rolled back by the tests together. */
constexpr double kFalseAlarm = 0.003;
/** Shares that a sound version may show by chance and by cold caches. */
constexpr double kLeastFailures = 0.02;
constexpr double kLeastSlow = 0.15;
/** An answer this many times slower than the old version's median is bad. */
constexpr double kSlowTimes = 2.5;
/** Hundredths: reading the whole prompt, beside others, takes less. */
constexpr double kMostFirst = 250.0;
constexpr double kMedian = 0.5;
constexpr std::array kTraits = { Trait::kFailures,
                                 Trait::kPace,
                                 Trait::kFirstEvent };

AnswerCounts
CountsOf(const AnswerTally& aTally, Trait aTrait, std::uint32_t aSlowClass)
{
  if (aTrait == Trait::kFailures) {
    return { .mAnswers = aTally.mAnswers, .mBad = aTally.mFailed };
  }
  const FigureCounts& figures =
    aTrait == Trait::kPace ? aTally.mPace : aTally.mFirst;
  return { .mAnswers = CountOf(figures),
           .mBad = CountAbove(figures, aSlowClass) };
}

std::uint32_t
SlowClass(const AnswerTally& aOld, Trait aTrait)
{
  if (aTrait == Trait::kPace) {
    return QuantileClass(aOld.mPace, kMedian) + ClassesFor(kSlowTimes);
  }
  return std::max(QuantileClass(aOld.mFirst, kMedian) + ClassesFor(kSlowTimes),
                  FigureClass(kMostFirst));
}

AnswerCounts
Sum(const std::map<UpstreamName, AnswerCounts>& aCounts)
{
  AnswerCounts sum;
  for (const auto& [upstream, counts] : aCounts) {
    sum.mAnswers += counts.mAnswers;
    sum.mBad += counts.mBad;
  }
  return sum;
}

/** The worst upstream counts as if it were as bad as all others together. */
AnswerCounts
WithWorstAsOthers(const std::map<UpstreamName, AnswerCounts>& aCounts)
{
  AnswerCounts others = Sum(aCounts);
  if (aCounts.size() < 2) {
    return others;
  }
  const auto worst = std::max_element(
    aCounts.begin(), aCounts.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.second.mBad < aOther.second.mBad;
    });
  const AnswerCounts& one = worst->second;
  others.mAnswers -= one.mAnswers;
  others.mBad -= one.mBad;
  const std::uint64_t alike =
    others.mAnswers == 0 ? 0 : one.mAnswers * others.mBad / others.mAnswers;
  return { .mAnswers = others.mAnswers + one.mAnswers,
           .mBad = others.mBad + std::min(one.mBad, alike) };
}

/** One comparison's counts; the new version's by upstream. */
struct Comparison
{
  std::map<UpstreamName, AnswerCounts> mNew;
  AnswerCounts mOld;
};

void
Add(Comparison& aTo, const Comparison& aFrom)
{
  aTo.mOld.mAnswers += aFrom.mOld.mAnswers;
  aTo.mOld.mBad += aFrom.mOld.mBad;
  for (const auto& [upstream, counts] : aFrom.mNew) {
    aTo.mNew[upstream].mAnswers += counts.mAnswers;
    aTo.mNew[upstream].mBad += counts.mBad;
  }
}

Comparison
Compare(const RouteAnswers& aAnswers, Trait aTrait)
{
  const std::uint32_t slow = SlowClass(aAnswers.mOld, aTrait);
  Comparison comparison{ .mNew = {},
                         .mOld = CountsOf(aAnswers.mOld, aTrait, slow) };
  const bool isTiming = aTrait != Trait::kFailures;
  if (isTiming && comparison.mOld.mAnswers == 0) {
    return {};
  }
  for (const auto& [upstream, tally] : aAnswers.mNew) {
    comparison.mNew[upstream] = CountsOf(tally, aTrait, slow);
  }
  return comparison;
}

VersionEvidence
Weigh(const std::string& aRoute,
      Trait aTrait,
      const Comparison& aComparison,
      double aThreshold)
{
  const AnswerCounts counts = WithWorstAsOthers(aComparison.mNew);
  const double tolerated =
    ToleratedShare(aComparison.mOld,
                   aTrait == Trait::kFailures ? kLeastFailures : kLeastSlow,
                   aComparison.mNew.size());
  return { .mRoute = aRoute,
           .mTrait = aTrait,
           .mNew = counts,
           .mOld = aComparison.mOld,
           .mTolerated = tolerated,
           .mLogEvidence = LogEvidence(counts, tolerated),
           .mThreshold = aThreshold };
}

void
AddFigures(FigureCounts& aTo, const FigureCounts& aFrom)
{
  for (const auto& [place, count] : aFrom) {
    aTo[place] += count;
  }
}

std::uint64_t
Less(std::uint64_t aFrom, std::uint64_t aTaken)
{
  return aFrom - std::min(aFrom, aTaken);
}

void
UpdateStats(FigureCounts& aFrom, const FigureCounts& aTaken)
{
  for (const auto& [place, count] : aTaken) {
    std::uint64_t& left = aFrom[place];
    left = Less(left, count);
  }
}

void
TakeTally(AnswerTally& aFrom, const AnswerTally& aTaken)
{
  aFrom.mAnswers = Less(aFrom.mAnswers, aTaken.mAnswers);
  aFrom.mFailed = Less(aFrom.mFailed, aTaken.mFailed);
  UpdateStats(aFrom.mPace, aTaken.mPace);
  UpdateStats(aFrom.mFirst, aTaken.mFirst);
}

} // namespace

void
AddTally(AnswerTally& aTo, const AnswerTally& aFrom)
{
  aTo.mAnswers += aFrom.mAnswers;
  aTo.mFailed += aFrom.mFailed;
  AddFigures(aTo.mPace, aFrom.mPace);
  AddFigures(aTo.mFirst, aFrom.mFirst);
  AddFigures(aTo.mTook, aFrom.mTook);
}

AnswersByRoute
Since(const AnswersByRoute& aNow, const AnswersByRoute& aBefore)
{
  AnswersByRoute since = aNow;
  for (auto& [route, answers] : since) {
    const auto before = aBefore.find(route);
    if (before == aBefore.end()) {
      continue;
    }
    TakeTally(answers.mOld, before->second.mOld);
    for (auto& [upstream, tally] : answers.mNew) {
      const auto known = before->second.mNew.find(upstream);
      if (known != before->second.mNew.end()) {
        TakeTally(tally, known->second);
      }
    }
  }
  return since;
}

std::optional<VersionEvidence>
Judge(const AnswersByRoute& aAnswers, double aLooks)
{
  if (aAnswers.empty()) {
    return std::nullopt;
  }
  const double tests =
    static_cast<double>(kTraits.size() * (aAnswers.size() + 1));
  const double threshold = std::log(aLooks * tests / kFalseAlarm);
  std::vector<VersionEvidence> evidence;
  for (const Trait trait : kTraits) {
    Comparison all;
    for (const auto& [route, answers] : aAnswers) {
      const Comparison one = Compare(answers, trait);
      Add(all, one);
      evidence.push_back(Weigh(route, trait, one, threshold));
    }
    evidence.push_back(Weigh("all", trait, all, threshold));
  }
  return *std::max_element(
    evidence.begin(), evidence.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.mLogEvidence < aOther.mLogEvidence;
    });
}

std::string
ToText(const VersionEvidence& aEvidence)
{
  std::array<char, 64> figures{};
  std::snprintf(figures.data(),
                figures.size(),
                "tolerated=%.3f log_evidence=%.2f threshold=%.2f",
                aEvidence.mTolerated,
                aEvidence.mLogEvidence,
                aEvidence.mThreshold);
  return std::string(boost::describe::enum_to_string(aEvidence.mTrait, "")) +
         " route=" + aEvidence.mRoute +
         " new=" + std::to_string(aEvidence.mNew.mBad) + "/" +
         std::to_string(aEvidence.mNew.mAnswers) +
         " old=" + std::to_string(aEvidence.mOld.mBad) + "/" +
         std::to_string(aEvidence.mOld.mAnswers) + " " + figures.data();
}

} // namespace peridotspool::rollout
