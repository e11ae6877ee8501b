#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <optional>

namespace peridotspool::control {

/** What a leader knows of another replica. */
struct FollowerProgress
{
  /** Synced there up to here. */
  LogIndex mMatch;
  /** The next entry to send. */
  LogIndex mNext;
  /** Entries are on their way; more wait for the answer, as one batch. */
  bool mAwaiting = false;
  /** When the last round that it answered was sent. */
  std::optional<TimePoint> mAnsweredAt;
  std::optional<TimePoint> mSnapshotSentAt;
};

} // namespace peridotspool::control
