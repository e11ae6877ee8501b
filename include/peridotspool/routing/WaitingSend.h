#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <compare>
#include <cstdint>

namespace peridotspool::routing {

/** A send that waits for a slot of one upstream. */
struct WaitingSend
{
  /** The entry that asked, and its tag. */
  Address mEntry;
  std::uint64_t mTag = 0;
  CustomerName mCustomer;
  /** Of the customer among all customers; above zero. */
  double mWeight = 1.0;
  /** 0 is the highest. */
  std::uint32_t mPriority = 0;
  /** Above zero. */
  double mCost = 1.0;
  /** Latest start that meets the request's latency objective. */
  TimePoint mLatestStart;
  /** The slot is of no use after this time. */
  TimePoint mDeadline;

  auto operator<=>(const WaitingSend&) const = default;
};

} // namespace peridotspool::routing
