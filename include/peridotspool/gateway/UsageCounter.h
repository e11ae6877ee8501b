#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/PeerMessage.h"

#include <cstdint>
#include <map>
#include <optional>

namespace peridotspool::gateway {

/**
 * Counts the requests that upstreams started to execute, by customer and by
 * window of wall clock time. Windows follow the median time that the leader
 * sends, since an instance's own clock may jump.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class UsageCounter
{
public:
  UsageCounter(Duration aWindow, std::uint64_t aIncarnation);

  /** Applies a median time that the leader sent; received at aNow. */
  void SetMedianTime(std::int64_t aMicros, TimePoint aNow);
  /** Counts one request. aWallMicros is the local wall clock, used until a
   * median time is known. */
  void Count(const CustomerName& aCustomer,
             std::int64_t aWallMicros,
             TimePoint aNow);
  UsageReport Report(std::int64_t aWallMicros) const;

private:
  Duration mWindow;
  std::uint64_t mIncarnation;
  /** Median time less the local monotonic clock, in microseconds. */
  std::optional<std::int64_t> mMedianOffset;
  std::map<std::uint64_t, UsageWindow> mWindows;
};

} // namespace peridotspool::gateway
