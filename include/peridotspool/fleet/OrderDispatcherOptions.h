#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/fleet/FleetIds.h"

#include <cstdint>

namespace peridotspool::fleet {

/** Times and bounds of the orders to engines. */
struct OrderDispatcherOptions
{
  /** When this replica took the lead. */
  TimePoint mLeaderSince;
  /** The control leader's lease; see control::ConsensusOptions. */
  Duration mLease = std::chrono::milliseconds(500);
  double mClockRateBound = 0.01;
  /** An order leaves within this time after its number was given, or never. */
  Duration mMaxSendDelay = std::chrono::milliseconds(200);
  /** No engine works on an order for longer. */
  Duration mMaxOrderDuration = std::chrono::seconds(120);
  /** Bytes a second that the weight store gives to all engines together. */
  std::uint64_t mStoreBytesPerSecond = 2ULL << 30;
  /** Loads may be asked for so far ahead of the store's rate. */
  Duration mMaxStoreBacklog = std::chrono::seconds(5);
  Duration mFailureBackoff = std::chrono::seconds(2);
  Duration mMaxFailureBackoff = std::chrono::minutes(2);
  /** An engine's state is read again after this long without an answer. */
  Duration mReadRetryInterval = std::chrono::seconds(1);
  /** Order ids go on after this one. */
  OrderId mLastOrder;

  /** How long orders of an earlier leader may still be at work. */
  Duration EarlierOrderTimeout() const;
};

} // namespace peridotspool::fleet
