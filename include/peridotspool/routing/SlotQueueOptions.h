#pragma once

#include <cstddef>

namespace peridotspool::routing {

struct SlotQueueOptions
{
  /** Share of the starts that a lower priority keeps while higher ones wait. */
  double mReservedShare = 0.05;
  /** Sends that wait for one upstream. An upstream of 6 slots and 15 ms of work
   * starts as many within 640 ms. */
  std::size_t mMaxWaiting = 256;
  /** Of one customer: a single flood doesn't fill the queue. */
  std::size_t mMaxOfCustomer = 64;
};

} // namespace peridotspool::routing
