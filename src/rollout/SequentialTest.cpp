#include "peridotspool/rollout/SequentialTest.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace peridotspool::rollout {

namespace {

/** Number of points at which the mixture over larger shares is evaluated. */
constexpr int kMixturePoints = 64;
constexpr double kMaxTolerated = 0.5;
/**
 * Bounds the multiple of the old version's share that is tolerated. The
 * multiple depends on how much an average over the new version's upstreams
 * varies.
 */
constexpr double kMaxRatio = 2.0;
constexpr double kSingleUpstreamRatio = 3.0;
/** Standard errors above the estimate. */
constexpr double kUpperBound = 2.0;

double
LogLikelihood(const AnswerCounts& aCounts, double aShare)
{
  const auto bad = static_cast<double>(aCounts.mBad);
  const auto good = static_cast<double>(aCounts.mAnswers - aCounts.mBad);
  return bad * std::log(aShare) + good * std::log1p(-aShare);
}

} // namespace

double
LogEvidence(const AnswerCounts& aCounts, double aTolerated)
{
  const double width = (1.0 - aTolerated) / kMixturePoints;
  std::vector<double> terms;
  terms.reserve(kMixturePoints);
  for (int i = 0; i < kMixturePoints; ++i) {
    terms.push_back(LogLikelihood(aCounts, aTolerated + (i + 0.5) * width));
  }
  const double largest = *std::max_element(terms.begin(), terms.end());
  double sum = 0.0;
  for (const double term : terms) {
    sum += std::exp(term - largest);
  }
  return largest + std::log(sum / kMixturePoints) -
         LogLikelihood(aCounts, aTolerated);
}

double
ToleratedShare(const AnswerCounts& aOld, double aMin, std::size_t aNewUpstreams)
{
  const double answers = static_cast<double>(aOld.mAnswers) + 2.0;
  const double share = (static_cast<double>(aOld.mBad) + 1.0) / answers;
  const double bound =
    share + kUpperBound * std::sqrt(share * (1.0 - share) / answers);
  const auto upstreams =
    static_cast<double>(std::max<std::size_t>(1, aNewUpstreams));
  const double ratio =
    std::min(kMaxRatio, 1.0 + kSingleUpstreamRatio / std::sqrt(upstreams));
  return std::clamp(ratio * bound, aMin, std::max(aMin, kMaxTolerated));
}

} // namespace peridotspool::rollout
