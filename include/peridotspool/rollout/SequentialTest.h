#pragma once

#include <cstddef>
#include <cstdint>

namespace peridotspool::rollout {

/** Bad ones among a number of answers. */
struct AnswerCounts
{
  std::uint64_t mAnswers = 0;
  std::uint64_t mBad = 0;
};

/**
 * The evidence that a share of bad answers is above aTolerated: the logarithm
 * of a likelihood ratio, mixed over all larger shares. Where the true share is
 * at most aTolerated, it ever exceeds log(1 / a) with a probability of at most
 * a, however often it is looked at (Ville's inequality).
 *
 * @param aTolerated above 0 and below 1
 */
double
LogEvidence(const AnswerCounts& aCounts, double aTolerated);

/**
 * The share of bad answers that a new version may have beside an old one with
 * these counts, of which it may be several ratio: the old one's upper bound is
 * taken. At least aMin. Upstreams differ, so an average over few of them may
 * be further from the old version's than one over many.
 */
double
ToleratedShare(const AnswerCounts& aOld,
               double aMin,
               std::size_t aNewUpstreams);

} // namespace peridotspool::rollout
