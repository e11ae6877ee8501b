#pragma once

#include "peridotspool/base/Time.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace peridotspool::observe {

/** Upper edges of the buckets; the last bucket has none. */
inline constexpr std::array<Duration, 16> kBucketEdges{
  std::chrono::microseconds(500), std::chrono::milliseconds(1),
  std::chrono::milliseconds(2),   std::chrono::milliseconds(5),
  std::chrono::milliseconds(10),  std::chrono::milliseconds(26),
  std::chrono::milliseconds(50),  std::chrono::milliseconds(100),
  std::chrono::milliseconds(200), std::chrono::milliseconds(440),
  std::chrono::milliseconds(900), std::chrono::seconds(2),
  std::chrono::seconds(5),        std::chrono::seconds(10),
  std::chrono::seconds(30),       std::chrono::seconds(120)
};

/** Counts durations in fixed buckets; any thread may observe and read. */
class LatencyHistogram
{
public:
  void Observe(Duration aDuration);

  /** Durations of at most kBucketEdges[aBucket], or all of them. */
  std::uint64_t CountUpTo(std::size_t aBucket) const;
  std::uint64_t Count() const { return CountUpTo(kBucketEdges.size()); }
  Duration Sum() const;

private:
  std::array<std::atomic<std::uint64_t>, kBucketEdges.size() + 1> mBuckets{};
  std::atomic<std::int64_t> mSumMicros{ 0 };
};

} // namespace peridotspool::observe
