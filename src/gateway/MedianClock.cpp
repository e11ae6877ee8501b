#include "peridotspool/gateway/MedianClock.h"

#include <algorithm>
#include <vector>

namespace peridotspool::gateway {

namespace {

constexpr Duration kMaxReadingAge = std::chrono::seconds(5);
/** The median of up to this many readings follows each of them at once. */
constexpr std::size_t kMaxExactReadings = 32;

} // namespace

void
MedianClock::RecordReading(std::uint64_t aProcess,
                           std::int64_t aMicros,
                           TimePoint aNow)
{
  mReadings[aProcess] = { .mOffset = aMicros - aNow.time_since_epoch().count(),
                          .mReadAt = aNow };
  if (!mScan.IsDue(aNow) && mReadings.size() > kMaxExactReadings) {
    return;
  }
  std::erase_if(mReadings, [&](const auto& aPair) {
    return aNow - aPair.second.mReadAt > kMaxReadingAge;
  });
  UpdateMedian();
}

void
MedianClock::UpdateMedian()
{
  std::vector<std::int64_t> offsets;
  offsets.reserve(mReadings.size());
  for (const auto& [process, reading] : mReadings) {
    offsets.push_back(reading.mOffset);
  }
  const auto median =
    offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
  std::nth_element(offsets.begin(), median, offsets.end());
  mMedianOffset = *median;
}

std::optional<std::int64_t>
MedianClock::Micros(TimePoint aNow) const
{
  return mMedianOffset
           ? std::optional(*mMedianOffset + aNow.time_since_epoch().count())
           : std::nullopt;
}

} // namespace peridotspool::gateway
