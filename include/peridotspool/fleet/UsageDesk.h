#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/SharedMessage.h"

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
  explicit UsageDesk(Duration aWindow);

  void Take(const gateway::UsageReport& aReport);
  /**
   * Returns the sum of the oldest window after aLast that is over for long
   * enough for its last reports to have come; empty without one.
   */
  std::optional<gateway::UsageWindow> Due(std::uint64_t aLast,
                                          std::int64_t aMicros);

private:
  Duration mWindow;
  /** Counts by window and by the life that reported them. */
  std::map<std::uint64_t, std::map<std::uint64_t, gateway::UsageWindow>>
    mReports;
};

} // namespace peridotspool::fleet
