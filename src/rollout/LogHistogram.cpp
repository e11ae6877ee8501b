#include "peridotspool/rollout/LogHistogram.h"

#include <algorithm>
#include <cmath>

namespace peridotspool::rollout {

namespace {

constexpr double kBucketsPerDoubling = 4.0;
constexpr double kMaxBucket = 100.0;

} // namespace

std::uint32_t
HistogramBucket(double aValue)
{
  const double bucket = kBucketsPerDoubling * std::log2(std::max(1.0, aValue));
  return static_cast<std::uint32_t>(std::min(kMaxBucket, bucket));
}

std::uint32_t
BucketsForRatio(double aRatio)
{
  return static_cast<std::uint32_t>(
    std::ceil(kBucketsPerDoubling * std::log2(aRatio)));
}

std::uint64_t
TotalCount(const BucketCounts& aCounts)
{
  std::uint64_t total = 0;
  for (const auto& [bucket, count] : aCounts) {
    total += count;
  }
  return total;
}

double
BucketUpperBound(std::uint32_t aBucket)
{
  return std::exp2((static_cast<double>(aBucket) + 1.0) / kBucketsPerDoubling);
}

std::uint32_t
QuantileBucket(const BucketCounts& aCounts, double aShare)
{
  const double wanted = aShare * static_cast<double>(TotalCount(aCounts));
  std::uint64_t below = 0;
  for (const auto& [bucket, count] : aCounts) {
    below += count;
    if (static_cast<double>(below) >= wanted) {
      return bucket;
    }
  }
  return 0;
}

std::uint64_t
CountAboveBucket(const BucketCounts& aCounts, std::uint32_t aBucket)
{
  std::uint64_t above = 0;
  for (auto bucket = aCounts.upper_bound(aBucket); bucket != aCounts.end();
       ++bucket) {
    above += bucket->second;
  }
  return above;
}

} // namespace peridotspool::rollout
