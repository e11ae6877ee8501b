#include "peridotspool/routing/LimitShare.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace peridotspool::routing {

namespace {

/**
 * Minimum fraction that is divided evenly, so that every entry can admit a
 * first request.
 */
constexpr double kMinEvenFraction = 0.1;

/**
 * Returns the fraction of each entry, in the order of the published demand. The
 * unused fraction is divided evenly: a customer well below its limit is then
 * not refused at an entry that its callers have just moved to, before the
 * demand there is published.
 */
std::vector<double>
Fractions(double aRate, const PublishedDemand& aPublished)
{
  double sum = 0;
  for (const auto& [member, demand] : aPublished) {
    sum += std::max(0.0, demand);
  }
  const auto count = static_cast<double>(aPublished.size());
  const double unused = aRate > 0 ? 1 - sum / aRate : 0;
  const double even = sum > 0 ? std::max(kMinEvenFraction, unused) : 1;
  std::vector<double> fractions;
  for (const auto& [member, demand] : aPublished) {
    const double byDemand = sum > 0 ? std::max(0.0, demand) / sum : 0;
    fractions.push_back(even / count + (1 - even) * byDemand);
  }
  return fractions;
}

/**
 * Returns an entry's share as an integer: all shares are rounded down, and the
 * remaining units go to the entries with the largest remainders. Rounding up
 * each share would let many entries together exceed a small limit.
 */
std::uint64_t
IntegerShare(std::uint64_t aTotal,
             const std::vector<double>& aFractions,
             std::size_t aSelf)
{
  const auto total = static_cast<double>(aTotal);
  const auto remainder = [&](std::size_t aAt) {
    return total * aFractions[aAt] - std::floor(total * aFractions[aAt]);
  };
  std::uint64_t assigned = 0;
  std::size_t ahead = 0;
  for (std::size_t at = 0; at < aFractions.size(); ++at) {
    assigned += static_cast<std::uint64_t>(std::floor(total * aFractions[at]));
    const bool before = remainder(at) > remainder(aSelf) ||
                        (remainder(at) == remainder(aSelf) && at < aSelf);
    ahead += before ? 1 : 0;
  }
  const std::uint64_t left = aTotal - std::min(aTotal, assigned);
  const auto own =
    static_cast<std::uint64_t>(std::floor(total * aFractions[aSelf]));
  return own + (ahead < left ? 1 : 0);
}

} // namespace

settings::Limits
LimitShare(const settings::Limits& aLimits,
           const PublishedDemand& aPublished,
           MemberId aSelf)
{
  const auto self = aPublished.find(aSelf);
  if (self == aPublished.end()) {
    return { .mRatePerSecond = 0, .mConcurrency = 0 };
  }
  const auto index =
    static_cast<std::size_t>(std::distance(aPublished.begin(), self));
  const std::vector<double> fractions =
    Fractions(aLimits.mRatePerSecond, aPublished);
  return { .mRatePerSecond = aLimits.mRatePerSecond * fractions[index],
           .mConcurrency =
             IntegerShare(aLimits.mConcurrency, fractions, index) };
}

} // namespace peridotspool::routing
