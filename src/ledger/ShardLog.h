#pragma once

#include "peridotspool/ledger/TransferMessage.h"

#include <cstdint>
#include <deque>
#include <set>
#include <vector>

namespace peridotspool::ledger {

/**
 * The records changed by a shard's latest operations, up to a limit. A copy
 * whose version is in this log is a prefix of this one and can be filled with
 * only the later changes.
 */
class ShardLog
{
public:
  /** The version of the last operation; unset before the first. */
  const LogVersion& Last() const { return mLast; }
  /**
   * Returns true iff `aVersion` is in the log, so that the history up to it is
   * a known prefix.
   */
  bool Knows(const LogVersion& aVersion) const;
  /** Returns the entries after `aVersion`, which must be in the log. */
  std::vector<LogEntry> After(const LogVersion& aVersion) const;

  void Append(LogEntry aEntry, std::uint32_t aMaxEntries);
  /** Deletes all entries. The history before `aBase` is then unknown. */
  void Restart(const LogVersion& aBase);

private:
  /** The version before the first entry. */
  LogVersion mBase;
  LogVersion mLast;
  std::deque<LogEntry> mEntries;
};

} // namespace peridotspool::ledger
