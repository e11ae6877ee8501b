#pragma once

#include "peridotspool/ledger/Origin.h"
#include "peridotspool/ledger/RequestRecord.h"

#include <vector>

#include <cstdint>

namespace peridotspool::ledger {

/** A record with what a replica keeps beside it, on its own clock. */
struct StoredRecord
{
  RequestRecord mRecord;
  /** The accept that made it; a resent one is answered kDone again. */
  Origin mAccepted;
  /** Earlier accepts of this key that ended refused, the oldest first. */
  std::vector<Origin> mRefusedAccepts;
  TimePoint mDeadline;
  /** When the primary next has to look at it (deadline or retention). */
  TimePoint mAlarm;
  /** Only a marker is left: the texts are gone. */
  bool mForgotten = false;
  /** The turn whose executor was last announced as orphaned. */
  AttemptNumber mAnnouncedTurn;
  std::uint64_t mBytes = 0;
};

} // namespace peridotspool::ledger
