#include "peridotspool/observe/LatencyHistogram.h"

#include <algorithm>

namespace peridotspool::observe {

void
LatencyHistogram::Observe(Duration aDuration)
{
  const auto bucket =
    std::lower_bound(kBucketEdges.begin(), kBucketEdges.end(), aDuration);
  const auto index =
    static_cast<std::size_t>(std::distance(kBucketEdges.begin(), bucket));
  mBuckets[index].fetch_add(1, std::memory_order_relaxed);
  mSumMicros.fetch_add(aDuration.count(), std::memory_order_relaxed);
}

std::uint64_t
LatencyHistogram::CountUpTo(std::size_t aBucket) const
{
  std::uint64_t count = 0;
  for (std::size_t at = 0; at <= aBucket; ++at) {
    count += mBuckets[at].load(std::memory_order_relaxed);
  }
  return count;
}

Duration
LatencyHistogram::Sum() const
{
  return Duration(mSumMicros.load(std::memory_order_relaxed));
}

} // namespace peridotspool::observe
