#pragma once

#include "peridotspool/ledger/TransferMessage.h"

#include <cstdint>
#include <deque>
#include <set>
#include <vector>

namespace peridotspool::ledger {

/**
 * Which records a shard's latest operations changed, up to a bound. A copy
 * whose version stands in here is a prefix, and is filled by what changed
 * since.
 */
class ShardLog
{
public:
  /** The version of the last operation; unset before the first. */
  const LogVersion& Last() const { return mLast; }
  /** Returns true iff the history up to `aVersion` is a prefix known here. */
  bool Knows(const LogVersion& aVersion) const;
  /** Returns the entries after `aVersion`, which must be known. */
  std::vector<LogEntry> After(const LogVersion& aVersion) const;

  void Append(LogEntry aEntry, std::uint32_t aMaxEntries);
  /** Forgets all entries: the history before `aBase` is not known here. */
  void Restart(const LogVersion& aBase);

private:
  /** What the first entry follows. */
  LogVersion mBase;
  LogVersion mLast;
  std::deque<LogEntry> mEntries;
};

} // namespace peridotspool::ledger
