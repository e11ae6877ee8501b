#include "peridotspool/routing/LimitShare.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace peridotspool::routing {

namespace {

/** Divided evenly in any case, so that an entry without demand can let a
 * first one in. */
constexpr double kEvenPart = 0.1;
/** The same for requests under way, whose number follows no published rate. */
constexpr double kEvenPartUnderWay = 0.5;

using Fractions = std::vector<double>;

double
DemandOf(double aPublished)
{
  return std::max(0.0, aPublished);
}

double
SumOf(const PublishedDemand& aPublished)
{
  double sum = 0;
  for (const auto& [member, demand] : aPublished) {
    sum += DemandOf(demand);
  }
  return sum;
}

/** Returns each entry's part of 1: aEven of it evenly, the rest by demand. */
Fractions
ByDemand(const PublishedDemand& aPublished, double aEven)
{
  const double sum = SumOf(aPublished);
  const auto count = static_cast<double>(aPublished.size());
  Fractions fractions;
  for (const auto& [member, demand] : aPublished) {
    const double byDemand = sum > 0 ? DemandOf(demand) / sum : 1 / count;
    fractions.push_back(aEven / count + (1 - aEven) * byDemand);
  }
  return fractions;
}

/**
 * Returns each entry's part of a rate. While all demand is within the limit an
 * entry has its own demand and an even part of what nobody asks for: by demand
 * alone, a customer far below its limit would be refused at the entry that it
 * has just turned to, until the others' published demand has faded.
 */
Fractions
OfRate(const PublishedDemand& aPublished, double aLimit)
{
  const double sum = SumOf(aPublished);
  if (aLimit <= 0 || sum >= (1 - kEvenPart) * aLimit) {
    return ByDemand(aPublished, kEvenPart);
  }
  const double spare = (aLimit - sum) / static_cast<double>(aPublished.size());
  Fractions fractions;
  for (const auto& [member, demand] : aPublished) {
    fractions.push_back((DemandOf(demand) + spare) / aLimit);
  }
  return fractions;
}

/**
 * Returns the whole part of an entry: all get the floor of their part, and
 * what is left over goes to those that lost most by it. Rounding each up on its
 * own would let many entries exceed a small limit together.
 */
std::uint64_t
WholePart(std::uint64_t aTotal, const Fractions& aFractions, std::size_t aSelf)
{
  const auto total = static_cast<double>(aTotal);
  const auto lost = [&](std::size_t aAt) {
    return total * aFractions[aAt] - std::floor(total * aFractions[aAt]);
  };
  std::uint64_t given = 0;
  std::size_t ahead = 0;
  for (std::size_t at = 0; at < aFractions.size(); ++at) {
    given += static_cast<std::uint64_t>(std::floor(total * aFractions[at]));
    const bool before =
      lost(at) > lost(aSelf) || (lost(at) == lost(aSelf) && at < aSelf);
    ahead += before ? 1 : 0;
  }
  const std::uint64_t left = aTotal - std::min(aTotal, given);
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
  const Fractions rate = OfRate(aPublished, aLimits.mRatePerSecond);
  const Fractions underWay = ByDemand(aPublished, kEvenPartUnderWay);
  return { .mRatePerSecond = aLimits.mRatePerSecond * rate[index],
           .mConcurrency = WholePart(aLimits.mConcurrency, underWay, index) };
}

} // namespace peridotspool::routing
