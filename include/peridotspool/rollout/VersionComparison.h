#pragma once

#include "peridotspool/rollout/RolloutMessage.h"
#include "peridotspool/rollout/SequentialTest.h"

#include <map>
#include <optional>
#include <string>

namespace peridotspool::rollout {

/** Answers of both versions on one route. */
struct RouteAnswers
{
  AnswerTally mOld;
  std::map<UpstreamName, AnswerTally> mNew;
};

using AnswersByRoute = std::map<std::string, RouteAnswers>;

/** What is compared between the versions. */
enum class ComparedMetric
{
  kFailures,
  kPace,
  kFirstEvent,
};
BOOST_DESCRIBE_ENUM(ComparedMetric, kFailures, kPace, kFirstEvent)

/** The strongest ground there is against a new version. */
struct VersionEvidence
{
  /** "all" for all routes together. */
  std::string mRoute;
  ComparedMetric mMetric = ComparedMetric::kFailures;
  AnswerCounts mNew;
  AnswerCounts mOld;
  double mTolerated = 0.0;
  /** The version is bad iff the first reaches the second. */
  double mLogEvidence = 0.0;
  double mThreshold = 0.0;

  bool IsBad() const { return mLogEvidence >= mThreshold; }
  /** More answers are to be seen before the version gets a larger share. */
  bool IsDoubtful() const { return mLogEvidence >= mThreshold / 2; }
};

std::string
ToText(const VersionEvidence& aEvidence);

/**
 * Compares a new version with the old one over the same time, route by route
 * and over all of them: failures, the pace of answers, and the time to the
 * first event. A figure is bad where it is several times the old version's
 * median. The worst of the new version's upstreams may have a fault of its own:
 * it counts as no worse than the others. Returns empty where there is nothing
 * to compare.
 *
 * @param aSpans spans of time that are judged one by one; the chance of a false
 *   alarm is shared out among them
 */
std::optional<VersionEvidence>
CompareVersions(const AnswersByRoute& aAnswers, double aSpans = 1.0);

/** Adds one tally to another one. */
void
AddTally(AnswerTally& aTo, const AnswerTally& aFrom);

/** What came after aBefore; what is fewer than before counts as none. */
AnswersByRoute
Since(const AnswersByRoute& aNow, const AnswersByRoute& aBefore);

} // namespace peridotspool::rollout
