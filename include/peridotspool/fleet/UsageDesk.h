#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/PeerMessage.h"

#include <cstdint>
#include <map>
#include <optional>

namespace peridotspool::fleet {

/**
 * Adds up what the entries report of each window. A life's newest report of a
 * window replaces its earlier ones, so reports may be lost, late or doubled.
 *
 * A pure step. Not thread-safe.
 */
class UsageDesk
{
public:
  /** aMost: how long after its end a window waits for missing reports. */
  UsageDesk(Duration aWindow, Duration aMost);

  void Take(const gateway::UsageReport& aReport, std::int64_t aMicros);
  /**
   * Returns the sum of the oldest window after aLast that is over and that all
   * lives have reported to its end, or that has waited long enough; empty
   * without one.
   */
  std::optional<gateway::UsageWindow> Due(std::uint64_t aLast,
                                          std::int64_t aMicros);

private:
  bool IsWhole(std::int64_t aEnd) const;

  Duration mWindow;
  Duration mMost;
  /** When each life reported last, in common time. */
  std::map<std::uint64_t, std::int64_t> mReportedAt;
  /** Counts by window and by the life that reported them. */
  std::map<std::uint64_t, std::map<std::uint64_t, gateway::UsageWindow>>
    mReports;
};

} // namespace peridotspool::fleet
