#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <optional>

namespace peridotspool::control {

/** The leader's view of another replica's replication state. */
struct FollowerProgress
{
  /** The last index known to be synced on the replica. */
  LogIndex mMatch;
  /** The index of the next entry to send. */
  LogIndex mNext;
  /**
   * Entries have been sent and not yet acknowledged; further ones wait and go
   * as one batch.
   */
  bool mAwaiting = false;
  /** When the latest round that the replica acknowledged was sent. */
  std::optional<TimePoint> mAnsweredAt;
  std::optional<TimePoint> mSnapshotSentAt;
};

} // namespace peridotspool::control
