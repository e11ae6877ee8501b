#pragma once

#include "peridotspool/base/Time.h"

#include <compare>

namespace peridotspool::settings {

/** How an entry schedules requests while capacity is scarce. */
struct SchedulingSettings
{
  /** How long a request may wait for its customer's limit; 0 for not at all. */
  Duration mQuotaWait{ 0 };
  /** Priorities, deadlines and customers' shares decide who starts first. */
  bool mShareCapacity = false;
  /** Only for services whose upstreams state how long work takes on their
   * machines, as they share these with others. */
  bool mSharedMachinesOnly = false;
  /** Share of the starts that the lowest priority keeps, from 0 to 0.5. */
  double mReservedShare = 0.05;
  /** Each upstream's own speed is learned and decides where requests go. */
  bool mUpstreamSpeed = false;

  auto operator<=>(const SchedulingSettings&) const = default;
};

} // namespace peridotspool::settings
