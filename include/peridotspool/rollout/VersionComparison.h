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

/** The metrics that are compared between the versions. */
enum class ComparedMetric
{
  kFailures,
  kPace,
  kFirstEvent,
};
BOOST_DESCRIBE_ENUM(ComparedMetric, kFailures, kPace, kFirstEvent)

/** The strongest evidence against a new version. */
struct VersionEvidence
{
  /** "all" for all routes together. */
  std::string mRoute;
  ComparedMetric mMetric = ComparedMetric::kFailures;
  AnswerCounts mNew;
  AnswerCounts mOld;
  double mTolerated = 0.0;
  /** The version is bad iff mLogEvidence reaches mThreshold. */
  double mLogEvidence = 0.0;
  double mThreshold = 0.0;

  bool IsBad() const { return mLogEvidence >= mThreshold; }
  /**
   * Returns true iff more answers are needed before the version gets a larger
   * share.
   */
  bool IsDoubtful() const { return mLogEvidence >= mThreshold / 2; }
};

std::string
ToText(const VersionEvidence& aEvidence);

/**
 * Compares a new version with the old one over the same time, for each route
 * and for all routes together: failures, the time of answers, and the time to
 * the first event. A value is bad if it is several times the old version's
 * median. The worst upstream of the new version may be faulty itself, so it
 * counts as no worse than the others. Returns empty if there is nothing to
 * compare.
 *
 * @param aSpans number of time spans evaluated one by one; the false positive
 * rate is divided among them
 */
std::optional<VersionEvidence>
CompareVersions(const AnswersByRoute& aAnswers, double aSpans = 1.0);

/** Adds the counts of one tally to another. */
void
AddTally(AnswerTally& aTo, const AnswerTally& aFrom);

/**
 * Returns the counts added since aBefore; counts that have decreased become 0.
 */
AnswersByRoute
Since(const AnswersByRoute& aNow, const AnswersByRoute& aBefore);

} // namespace peridotspool::rollout
