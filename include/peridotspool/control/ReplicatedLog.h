#pragma once

#include "peridotspool/control/LogEntry.h"

#include <cstddef>
#include <deque>
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
  /** Returns up to aMaxCount entries starting at aFrom. */
  std::vector<LogEntry> Slice(LogIndex aFrom, std::size_t aMaxCount) const;
  std::size_t Size() const { return mEntries.size(); }

  void Append(LogEntry aEntry);
  void CutFrom(LogIndex aIndex);
  /** Drops entries up to and including aIndex, which must be retained. */
  void DropThrough(LogIndex aIndex);

private:
  LogIndex mBaseIndex;
  Term mBaseTerm;
  std::deque<LogEntry> mEntries;
};

} // namespace peridotspool::control
