#pragma once

#include "peridotspool/rollout/RolloutMessage.h"

namespace peridotspool::rollout {

/**
 * Returns the bucket of a positive value. Buckets are logarithmic, with four
 * per doubling.
 */
std::uint32_t
HistogramBucket(double aValue);

/**
 * Returns the number of buckets between a value and aRatio times that value.
 */
std::uint32_t
BucketsForRatio(double aRatio);

/** Returns the upper bound of a bucket. */
double
BucketUpperBound(std::uint32_t aBucket);

/** Returns the bucket of the aShare quantile; 0 without values. */
std::uint32_t
QuantileBucket(const BucketCounts& aCounts, double aShare);

/** Return the number of all values, and the number of values above a bucket. */
std::uint64_t
TotalCount(const BucketCounts& aCounts);
std::uint64_t
CountAboveBucket(const BucketCounts& aCounts, std::uint32_t aBucket);

} // namespace peridotspool::rollout
