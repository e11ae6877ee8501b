#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/fleet/FleetIds.h"

#include <cstdint>

namespace peridotspool::fleet {

/** Times and bounds of the orders to engines. */
struct OrderDispatcherOptions
{
  /** When this replica became the leader. */
  TimePoint mLeaderSince;
  /** The control leader's lease; see control::ConsensusOptions. */
  Duration mLease = std::chrono::milliseconds(500);
  double mClockRateBound = 0.01;
  /**
   * An order is sent within this time after its fencing number was issued, or
   * not at all.
   */
  Duration mMaxSendDelay = std::chrono::milliseconds(200);
  /** Maximum time for which an engine works on one order. */
  Duration mMaxOrderDuration = std::chrono::seconds(120);
  /** Bandwidth of the weight store, shared by all engines. */
  std::uint64_t mStoreBytesPerSecond = 2ULL << 30;
  /** Maximum backlog of the weight store, as time at its full rate. */
  Duration mMaxStoreBacklog = std::chrono::seconds(5);
  Duration mFailureBackoff = std::chrono::seconds(2);
  Duration mMaxFailureBackoff = std::chrono::minutes(2);
  /** A setup query without a response is repeated after this time. */
  Duration mReadRetryInterval = std::chrono::seconds(1);
  /** New order ids follow this one. */
  OrderId mLastOrder;

  /** Returns how long orders of an earlier leader may still be running. */
  Duration EarlierOrderTimeout() const;
};

} // namespace peridotspool::fleet
