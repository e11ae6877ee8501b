#pragma once

#include "peridotspool/ledger/Origin.h"
#include "peridotspool/ledger/RequestRecord.h"

#include <vector>

#include <cstdint>

namespace peridotspool::ledger {

/**
 * A record and the replica's local metadata, with times on the replica's own
 * clock.
 */
struct StoredRecord
{
  RequestRecord mRecord;
  /**
   * The accept that created the record. A resent accept is answered with kDone
   * again.
   */
  Origin mAccepted;
  /** Earlier accepts of this key that ended as refused, the oldest first. */
  std::vector<Origin> mRefusedAccepts;
  TimePoint mDeadline;
  /** When the primary must check the record next (deadline or retention). */
  TimePoint mAlarm;
  /** True iff only a marker without texts remains. */
  bool mForgotten = false;
  /** The executor turn that was last announced as orphaned. */
  AttemptNumber mAnnouncedTurn;
  std::uint64_t mBytes = 0;
};

} // namespace peridotspool::ledger
