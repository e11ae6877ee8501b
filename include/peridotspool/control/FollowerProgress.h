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
  /** An append was refused or lost: send one batch and wait for its answer. */
  bool mProbing = true;
  /** When the last round that it answered was sent. */
  std::optional<TimePoint> mAnsweredAt;
  std::optional<TimePoint> mSnapshotSentAt;
};

} // namespace peridotspool::control
