#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/SharedMessage.h"

#include <cstdint>
#include <map>
#include <optional>

namespace peridotspool::fleet {

/**
 * Adds up what the entries report of each window. A incarnation's newest report
 * of a window replaces its earlier ones, so reports may be lost, late or
 * doubled.
 *
 * A pure step. Not thread-safe.
 */
class UsageAggregator
{
public:
  /** aMaxWait: how long after its end a window waits for missing reports. */
  UsageAggregator(Duration aWindow, Duration aMaxWait);

  void AddReport(const gateway::UsageReport& aReport, std::int64_t aMicros);
  /**
   * Returns the sum of the oldest window after aLast that is over and that all
   * lives have reported to its end, or that has waited long enough; empty
   * without one.
   */
  std::optional<gateway::UsageWindow> Due(std::uint64_t aLast,
                                          std::int64_t aMicros);

private:
  bool HasAllReports(std::int64_t aEnd) const;

  Duration mWindow;
  Duration mMaxWait;
  /** When each incarnation reported last, in common time. */
  std::map<std::uint64_t, std::int64_t> mReportedAt;
  /** Counts by window and by the incarnation that reported them. */
  std::map<std::uint64_t, std::map<std::uint64_t, gateway::UsageWindow>>
    mReports;
};

} // namespace peridotspool::fleet
