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
  /** An empty log that goes on after aIndex. */
  ReplicatedLog(LogIndex aIndex, Term aTerm);

  /** The entry before the first one that is kept. */
  LogIndex BaseIndex() const { return mBaseIndex; }
  LogIndex LastIndex() const;
  Term LastTerm() const;
  /** Returns the term at an index; empty when it isn't kept. */
  std::optional<Term> TermAt(LogIndex aIndex) const;
  bool Holds(LogIndex aIndex) const;
  const LogEntry& At(LogIndex aIndex) const;
  /** Returns up to aMaxCount entries from aFrom on. */
  std::vector<LogEntry> Slice(LogIndex aFrom, std::size_t aMaxCount) const;
  std::size_t Size() const { return mEntries.size(); }

  void Append(LogEntry aEntry);
  void CutFrom(LogIndex aIndex);
  /** Drops entries up to and with aIndex, which must be held. */
  void DropThrough(LogIndex aIndex);

private:
  LogIndex mBaseIndex;
  Term mBaseTerm;
  std::deque<LogEntry> mEntries;
};

} // namespace peridotspool::control
