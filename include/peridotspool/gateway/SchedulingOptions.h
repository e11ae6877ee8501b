#pragma once

#include "peridotspool/base/Time.h"

#include <compare>

namespace peridotspool::gateway {

/** How an entry schedules requests while capacity is scarce. */
struct SchedulingOptions
{
  /** How long a request may wait for its customer's limit; 0 for not at all. */
  Duration mMaxQuotaWait{ 0 };
  /** Priorities, deadlines and customers' shares decide who starts first. */
  bool mShareCapacity = false;
  /** Only for services whose upstreams state how long work takes on their
   * machines; needs mLearnUpstreamSpeed. */
  bool mSharedMachinesOnly = false;
  /** Share of the starts that the lowest priority keeps. */
  double mReservedShare = 0.05;
  /** Each upstream's own speed is learned and decides where requests go. */
  bool mLearnUpstreamSpeed = false;

  auto operator<=>(const SchedulingOptions&) const = default;
};

} // namespace peridotspool::gateway
