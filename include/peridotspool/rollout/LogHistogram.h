#pragma once

#include "peridotspool/rollout/RolloutMessage.h"

namespace peridotspool::rollout {

/** The class of a positive figure; four classes double it. */
std::uint32_t
HistogramBucket(double aValue);

/** Classes between a figure and aRatio of it. */
std::uint32_t
BucketsForRatio(double aRatio);

/** The largest figure of a class. */
double
BucketUpperBound(std::uint32_t aBucket);

/** The class that so large a part of the figures doesn't exceed; 0 without any.
 */
std::uint32_t
QuantileBucket(const BucketCounts& aCounts, double aShare);

/** How many figures there are, and how many are above a class. */
std::uint64_t
TotalCount(const BucketCounts& aCounts);
std::uint64_t
CountAboveBucket(const BucketCounts& aCounts, std::uint32_t aBucket);

} // namespace peridotspool::rollout
