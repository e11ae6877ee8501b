#include "peridotspool/gateway/MedianClock.h"

#include <algorithm>
#include <vector>

namespace peridotspool::gateway {

namespace {

constexpr Duration kMaxReadingAge = std::chrono::seconds(5);

} // namespace

void
MedianClock::RecordReading(std::uint64_t aProcess,
                           std::int64_t aMicros,
                           TimePoint aNow)
{
  mReadings[aProcess] = { .mOffset = aMicros - aNow.time_since_epoch().count(),
                          .mReadAt = aNow };
  std::erase_if(mReadings, [&](const auto& aPair) {
    return aNow - aPair.second.mReadAt > kMaxReadingAge;
  });
}

std::optional<std::int64_t>
MedianClock::Micros(TimePoint aNow) const
{
  std::vector<std::int64_t> offsets;
  for (const auto& [process, reading] : mReadings) {
    offsets.push_back(reading.mOffset);
  }
  if (offsets.empty()) {
    return std::nullopt;
  }
  const auto median =
    offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
  std::nth_element(offsets.begin(), median, offsets.end());
  return *median + aNow.time_since_epoch().count();
}

} // namespace peridotspool::gateway
