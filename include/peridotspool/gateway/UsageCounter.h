#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/PeerMessage.h"

#include <cstdint>
#include <map>
#include <optional>

namespace peridotspool::gateway {

/**
 * Counts what upstreams began for each customer, by windows of the time of
 * day. The time of day is the one that the leader says most processes have: an
 * instance's own clock may jump.
 *
 * A pure step. Not thread-safe.
 */
class UsageCounter
{
public:
  UsageCounter(Duration aWindow, std::uint64_t aIncarnation);

  /** Takes the common time of day that the leader sent just now. */
  void SetMedianTime(std::int64_t aMicros, TimePoint aNow);
  /** aWallMicros is the own time of day, for as long as no other is known. */
  void Count(const CustomerName& aCustomer,
             std::int64_t aWallMicros,
             TimePoint aNow);
  UsageReport Report(std::int64_t aWallMicros) const;

private:
  Duration mWindow;
  std::uint64_t mIncarnation;
  /** Common time of day less the process's clock, in microseconds. */
  std::optional<std::int64_t> mMedianOffset;
  std::map<std::uint64_t, UsageWindow> mWindows;
};

} // namespace peridotspool::gateway
