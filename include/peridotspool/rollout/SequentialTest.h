#pragma once

#include <cstddef>
#include <cstdint>

namespace peridotspool::rollout {

/** A number of answers and how many of them were bad. */
struct AnswerCounts
{
  std::uint64_t mAnswers = 0;
  std::uint64_t mBad = 0;
};

/**
 * Returns the evidence that the share of bad answers is above aTolerated: the
 * logarithm of a likelihood ratio, mixed over all larger shares. If the true
 * share is at most aTolerated, the probability that the evidence ever exceeds
 * log(1 / a) is at most a, however often it is evaluated (Ville's inequality).
 *
 * @param aTolerated above 0 and below 1
 */
double
LogEvidence(const AnswerCounts& aCounts, double aTolerated);

/**
 * Returns the tolerated share of bad answers of a new version, given the counts
 * of the old one: a multiple of the upper bound of the old version's share, and
 * at least aMin. Upstreams differ, so an average over few new upstreams may
 * deviate more from the old version's than one over many.
 */
double
ToleratedShare(const AnswerCounts& aOld,
               double aMin,
               std::size_t aNewUpstreams);

} // namespace peridotspool::rollout
