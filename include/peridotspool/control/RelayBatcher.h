#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/control/RelayMessage.h"

#include <cstddef>
#include <map>
#include <vector>

namespace peridotspool::control {

/** Messages for one control replica. */
struct RelayBatch
{
  Address mTo;
  RelayedRequests mRequests;
};

/**
 * Collects the messages that entries send through this control replica, so that
 * another replica receives one frame for many entries.
 *
 * A deterministic state machine: it uses no clock, thread or socket. Not
 * thread-safe.
 */
class RelayBatcher
{
public:
  /** The longest time that a message waits for others. */
  static constexpr Duration kPeriod = std::chrono::milliseconds(30);
  /** The maximum number of messages in a batch. */
  static constexpr std::size_t kMaxBatch = 4096;

  /** Adds a message; returns false if it was dropped because too many wait. */
  bool Add(const Address& aTo, RelayedRequest aRequest);
  /** Returns the batches that are due. */
  std::vector<RelayBatch> TakeDue(TimePoint aNow);

private:
  std::map<Address, RelayedRequests> mBatches;
  TimePoint mTakenAt;
};

} // namespace peridotspool::control
