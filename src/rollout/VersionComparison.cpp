#include "peridotspool/rollout/VersionComparison.h"

#include "peridotspool/rollout/LogHistogram.h"

#include <boost/describe/enum_to_string.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <vector>

namespace peridotspool::rollout {

namespace {

/** Probability that a sound version is rolled back by any of the tests. */
constexpr double kFalsePositiveRate = 0.003;
/**
 * Shares of bad answers that a sound version may show by chance and because of
 * cold caches.
 */
constexpr double kMinToleratedFailures = 0.02;
constexpr double kMinToleratedSlow = 0.15;
/**
 * An answer is bad if it takes more than this multiple of the old version's
 * median.
 */
constexpr double kSlowFactor = 2.5;
/**
 * In hundredths. A prefill of the whole prompt beside other requests takes less
 * than this.
 */
constexpr double kMinSlowFirstEvent = 250.0;
constexpr double kMedian = 0.5;
constexpr std::array kMetrics = { ComparedMetric::kFailures,
                                  ComparedMetric::kPace,
                                  ComparedMetric::kFirstEvent };

AnswerCounts
CountsOf(const AnswerTally& aTally,
         ComparedMetric aMetric,
         std::uint32_t aSlowBucket)
{
  if (aMetric == ComparedMetric::kFailures) {
    return { .mAnswers = aTally.mAnswers, .mBad = aTally.mFailed };
  }
  const BucketCounts& values =
    aMetric == ComparedMetric::kPace ? aTally.mPace : aTally.mFirstEvent;
  return { .mAnswers = TotalCount(values),
           .mBad = CountAboveBucket(values, aSlowBucket) };
}

std::uint32_t
SlowBucket(const AnswerTally& aOld, ComparedMetric aMetric)
{
  if (aMetric == ComparedMetric::kPace) {
    return QuantileBucket(aOld.mPace, kMedian) + BucketsForRatio(kSlowFactor);
  }
  return std::max(QuantileBucket(aOld.mFirstEvent, kMedian) +
                    BucketsForRatio(kSlowFactor),
                  HistogramBucket(kMinSlowFirstEvent));
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

/**
 * Returns the sum, with the worst upstream's share of bad answers limited to
 * that of all others together.
 */
AnswerCounts
LimitWorstUpstream(const std::map<UpstreamName, AnswerCounts>& aCounts)
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
  const std::uint64_t atOthersRate =
    others.mAnswers == 0 ? 0 : one.mAnswers * others.mBad / others.mAnswers;
  return { .mAnswers = others.mAnswers + one.mAnswers,
           .mBad = others.mBad + std::min(one.mBad, atOthersRate) };
}

/** The counts of one comparison; those of the new version by upstream. */
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
Compare(const RouteAnswers& aAnswers, ComparedMetric aMetric)
{
  const std::uint32_t slow = SlowBucket(aAnswers.mOld, aMetric);
  Comparison comparison{ .mNew = {},
                         .mOld = CountsOf(aAnswers.mOld, aMetric, slow) };
  const bool isTiming = aMetric != ComparedMetric::kFailures;
  if (isTiming && comparison.mOld.mAnswers == 0) {
    return {};
  }
  for (const auto& [upstream, tally] : aAnswers.mNew) {
    comparison.mNew[upstream] = CountsOf(tally, aMetric, slow);
  }
  return comparison;
}

VersionEvidence
EvaluateEvidence(const std::string& aRoute,
                 ComparedMetric aMetric,
                 const Comparison& aComparison,
                 double aThreshold)
{
  const AnswerCounts counts = LimitWorstUpstream(aComparison.mNew);
  const double tolerated =
    ToleratedShare(aComparison.mOld,
                   aMetric == ComparedMetric::kFailures ? kMinToleratedFailures
                                                        : kMinToleratedSlow,
                   aComparison.mNew.size());
  return { .mRoute = aRoute,
           .mMetric = aMetric,
           .mNew = counts,
           .mOld = aComparison.mOld,
           .mTolerated = tolerated,
           .mLogEvidence = LogEvidence(counts, tolerated),
           .mThreshold = aThreshold };
}

void
AddCounts(BucketCounts& aTo, const BucketCounts& aFrom)
{
  for (const auto& [bucket, count] : aFrom) {
    aTo[bucket] += count;
  }
}

std::uint64_t
SaturatingSubtract(std::uint64_t aFrom, std::uint64_t aSubtracted)
{
  return aFrom - std::min(aFrom, aSubtracted);
}

void
SubtractCounts(BucketCounts& aFrom, const BucketCounts& aSubtracted)
{
  for (const auto& [bucket, count] : aSubtracted) {
    std::uint64_t& left = aFrom[bucket];
    left = SaturatingSubtract(left, count);
  }
}

void
SubtractTally(AnswerTally& aFrom, const AnswerTally& aSubtracted)
{
  aFrom.mAnswers = SaturatingSubtract(aFrom.mAnswers, aSubtracted.mAnswers);
  aFrom.mFailed = SaturatingSubtract(aFrom.mFailed, aSubtracted.mFailed);
  SubtractCounts(aFrom.mPace, aSubtracted.mPace);
  SubtractCounts(aFrom.mFirstEvent, aSubtracted.mFirstEvent);
}

} // namespace

void
AddTally(AnswerTally& aTo, const AnswerTally& aFrom)
{
  aTo.mAnswers += aFrom.mAnswers;
  aTo.mFailed += aFrom.mFailed;
  AddCounts(aTo.mPace, aFrom.mPace);
  AddCounts(aTo.mFirstEvent, aFrom.mFirstEvent);
  AddCounts(aTo.mTotalTime, aFrom.mTotalTime);
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
    SubtractTally(answers.mOld, before->second.mOld);
    for (auto& [upstream, tally] : answers.mNew) {
      const auto known = before->second.mNew.find(upstream);
      if (known != before->second.mNew.end()) {
        SubtractTally(tally, known->second);
      }
    }
  }
  return since;
}

std::optional<VersionEvidence>
CompareVersions(const AnswersByRoute& aAnswers, double aSpans)
{
  if (aAnswers.empty()) {
    return std::nullopt;
  }
  const double tests =
    static_cast<double>(kMetrics.size() * (aAnswers.size() + 1));
  const double threshold = std::log(aSpans * tests / kFalsePositiveRate);
  std::vector<VersionEvidence> evidence;
  for (const ComparedMetric metric : kMetrics) {
    Comparison all;
    for (const auto& [route, answers] : aAnswers) {
      const Comparison one = Compare(answers, metric);
      Add(all, one);
      evidence.push_back(EvaluateEvidence(route, metric, one, threshold));
    }
    evidence.push_back(EvaluateEvidence("all", metric, all, threshold));
  }
  return *std::max_element(
    evidence.begin(), evidence.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.mLogEvidence < aOther.mLogEvidence;
    });
}

std::string
ToText(const VersionEvidence& aEvidence)
{
  std::array<char, 64> buffer{};
  std::snprintf(buffer.data(),
                buffer.size(),
                "tolerated=%.3f log_evidence=%.2f threshold=%.2f",
                aEvidence.mTolerated,
                aEvidence.mLogEvidence,
                aEvidence.mThreshold);
  return std::string(boost::describe::enum_to_string(aEvidence.mMetric, "")) +
         " route=" + aEvidence.mRoute +
         " new=" + std::to_string(aEvidence.mNew.mBad) + "/" +
         std::to_string(aEvidence.mNew.mAnswers) +
         " old=" + std::to_string(aEvidence.mOld.mBad) + "/" +
         std::to_string(aEvidence.mOld.mAnswers) + " " + buffer.data();
}

} // namespace peridotspool::rollout
