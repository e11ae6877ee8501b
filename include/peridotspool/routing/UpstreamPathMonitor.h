#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <compare>
#include <cstddef>
#include <optional>
#include <set>

namespace peridotspool::routing {

/** What an entry has seen of its network path to all upstreams together. */
struct UpstreamPathFacts
{
  /** Time since the last connection was established; empty without one. */
  std::optional<Duration> mSinceConnected;
  /** Time since the last bytes were received; empty without any. */
  std::optional<Duration> mSinceReceived;
  /** Upstreams to which connections failed since the last was established. */
  std::size_t mFailedUpstreams = 0;

  auto operator<=>(const UpstreamPathFacts&) const = default;
};

/**
 * Records what shows whether an entry reaches upstreams.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class UpstreamPathMonitor
{
public:
  void RecordConnected(TimePoint aNow);
  void RecordConnectFailed(const UpstreamName& aUpstream);
  void RecordReceived(TimePoint aNow);

  UpstreamPathFacts Facts(TimePoint aNow) const;

private:
  std::optional<TimePoint> mConnectedAt;
  std::optional<TimePoint> mReceivedAt;
  std::set<UpstreamName> mFailed;
};

} // namespace peridotspool::routing
