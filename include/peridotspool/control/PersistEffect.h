#pragma once

#include "peridotspool/control/RestoredState.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <optional>
#include <vector>

namespace peridotspool::control {

/**
 * One write to disk. The host carries writes out in the order of their tokens.
 * Within a write the order is: reset (drops everything written before),
 * identity, snapshot (replaces all entries up to its index), cut, append, vote.
 * The host then syncs and reports SyncedEvent with the token. It may sync
 * several writes together and report the last token only. When a write fails,
 * the host stops the process.
 */
struct PersistEffect
{
  SyncToken mToken;
  std::optional<ReplicaIdentity> mIdentity;
  std::optional<Snapshot> mSnapshot;
  /** Drops entries from this index on. */
  std::optional<LogIndex> mCutFrom;
  std::vector<LogEntry> mAppend;
  std::optional<VoteRecord> mVote;
  bool mReset = false;

  /** Returns true iff there is nothing to write. */
  bool IsEmpty() const;

  auto operator<=>(const PersistEffect&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  PersistEffect,
  (),
  (mToken, mIdentity, mSnapshot, mCutFrom, mAppend, mVote, mReset))

/**
 * Applies a write to a state in memory. A disk must end up with the same
 * result.
 */
void
ApplyPersist(RestoredState& aState, const PersistEffect& aWrite);

} // namespace peridotspool::control
