#pragma once

#include "peridotspool/control/LogEntry.h"

#include <cstddef>
#include <deque>
#include <limits>
#include <optional>
#include <vector>

namespace peridotspool::control {

/** A replica's log in memory: the entries after the last compaction. */
class ReplicatedLog
{
public:
  ReplicatedLog() = default;
  /** Creates an empty log whose first entry will follow aIndex. */
  ReplicatedLog(LogIndex aIndex, Term aTerm);

  /** The index before the first retained entry. */
  LogIndex BaseIndex() const { return mBaseIndex; }
  LogIndex LastIndex() const;
  Term LastTerm() const;
  /** Returns the term at an index; empty when the entry isn't retained. */
  std::optional<Term> TermAt(LogIndex aIndex) const;
  bool Holds(LogIndex aIndex) const;
  const LogEntry& At(LogIndex aIndex) const;
  /**
   * Returns up to aMaxCount entries starting at aFrom. Further ones are left
   * out once they have more than aMaxBytes encoded bytes together.
   */
  std::vector<LogEntry> Slice(
    LogIndex aFrom,
    std::size_t aMaxCount,
    std::size_t aMaxBytes = std::numeric_limits<std::size_t>::max()) const;
  std::size_t Size() const { return mEntries.size(); }
  /** Encoded bytes of the retained entries after aIndex. */
  std::size_t BytesAfter(LogIndex aIndex) const;
  /**
   * Returns the index before the oldest of the entries up to aIndex that
   * together have at most aMaxCount entries and aMaxBytes encoded bytes.
   */
  LogIndex BeforeLatest(LogIndex aIndex,
                        std::size_t aMaxCount,
                        std::size_t aMaxBytes) const;

  void Append(LogEntry aEntry);
  void CutFrom(LogIndex aIndex);
  /** Drops entries up to and including aIndex, which must be retained. */
  void DropThrough(LogIndex aIndex);

private:
  struct SizedEntry
  {
    LogEntry mEntry;
    /** Encoded. */
    std::size_t mBytes = 0;
  };

  const SizedEntry& SizedAt(LogIndex aIndex) const;

  LogIndex mBaseIndex;
  Term mBaseTerm;
  std::deque<SizedEntry> mEntries;
};

} // namespace peridotspool::control
