#include "peridotspool/gateway/CommonClock.h"

#include <algorithm>
#include <vector>

namespace peridotspool::gateway {

namespace {

constexpr Duration kForgetAfter = std::chrono::seconds(5);

} // namespace

void
CommonClock::Take(std::uint64_t aProcess, std::int64_t aMicros, TimePoint aNow)
{
  mReadings[aProcess] = { .mOffset = aMicros - aNow.time_since_epoch().count(),
                          .mAt = aNow };
  std::erase_if(mReadings, [&](const auto& aPair) {
    return aNow - aPair.second.mAt > kForgetAfter;
  });
}

std::optional<std::int64_t>
CommonClock::Micros(TimePoint aNow) const
{
  std::vector<std::int64_t> offsets;
  for (const auto& [process, reading] : mReadings) {
    offsets.push_back(reading.mOffset);
  }
  if (offsets.empty()) {
    return std::nullopt;
  }
  const auto middle =
    offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle + aNow.time_since_epoch().count();
}

} // namespace peridotspool::gateway
