#pragma once

#include "peridotspool/base/ScanLimiter.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/PeerMessage.h"

#include <cstdint>
#include <map>
#include <optional>

namespace peridotspool::fleet {

/**
 * Sums up the usage that entries report for each window. The newest report of
 * an entry's incarnation replaces its earlier ones for the same window, so
 * lost, late and duplicate reports are harmless.
 *
 * A state machine without clock, threads or sockets. Not thread-safe.
 */
class UsageAggregator
{
public:
  /**
   * aMaxWait bounds how long after its end a window waits for missing reports.
   */
  UsageAggregator(Duration aWindow, Duration aMaxWait);

  void AddReport(const gateway::UsageReport& aReport, std::int64_t aMicros);
  /**
   * Returns the sum of the oldest window after aLast if the window is over and
   * either every incarnation has reported past its end or the wait is over.
   * Returns empty otherwise.
   */
  std::optional<gateway::UsageWindow> Due(std::uint64_t aLast,
                                          std::int64_t aMicros);
  /** Returns how often all incarnations were scanned for ended ones. */
  std::uint64_t Scans() const { return mExpiryScan.Scans(); }

private:
  bool HasAllReports(std::int64_t aEnd) const;

  Duration mWindow;
  Duration mMaxWait;
  /** When each incarnation reported last, in common time. */
  std::map<std::uint64_t, std::int64_t> mReportedAt;
  ScanLimiter mExpiryScan{ std::chrono::milliseconds(200) };
  /** Counts by window and by the incarnation that reported them. */
  std::map<std::uint64_t, std::map<std::uint64_t, gateway::UsageWindow>>
    mReports;
};

} // namespace peridotspool::fleet
