#include "runtime/SyncWatch.h"

#include <algorithm>
#include <utility>

namespace peridotspool::runtime {

namespace {

/** An election takes about as long: by then the group stands still for it. */
constexpr Duration kTooLong = std::chrono::seconds(1);
constexpr Duration kTellEach = std::chrono::seconds(1);
constexpr Duration kSummaryEach = std::chrono::seconds(10);

} // namespace

void
SyncWatch::Begin(TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  mSince = aNow;
}

Duration
SyncWatch::End(TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  const Duration took = aNow - mSince.value_or(aNow);
  mSince.reset();
  mToldAt.reset();
  ++mCount;
  mSum += took;
  mLongest = std::max(mLongest, took);
  return took;
}

std::optional<Duration>
SyncWatch::Hangs(TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  if (!mSince || aNow - *mSince < kTooLong ||
      (mToldAt && aNow - *mToldAt < kTellEach)) {
    return std::nullopt;
  }
  mToldAt = aNow;
  return aNow - *mSince;
}

std::optional<SyncSummary>
SyncWatch::Due(TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  if (!mSummedAt) {
    mSummedAt = aNow;
  }
  if (aNow - *mSummedAt < kSummaryEach || mCount == 0) {
    return std::nullopt;
  }
  mSummedAt = aNow;
  const std::uint64_t count = std::exchange(mCount, 0);
  const Duration sum = std::exchange(mSum, Duration(0));
  return SyncSummary{ .mCount = count,
                      .mMean = sum / static_cast<Duration::rep>(count),
                      .mLongest = std::exchange(mLongest, Duration(0)) };
}

} // namespace peridotspool::runtime
