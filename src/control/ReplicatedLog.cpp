#include "peridotspool/control/ReplicatedLog.h"

#include "peridotspool/base/Invariant.h"

#include <algorithm>

namespace peridotspool::control {

ReplicatedLog::ReplicatedLog(LogIndex aIndex, Term aTerm)
  : mBaseIndex(aIndex)
  , mBaseTerm(aTerm)
{
}

LogIndex
ReplicatedLog::LastIndex() const
{
  return mEntries.empty() ? mBaseIndex : mEntries.back().mIndex;
}

Term
ReplicatedLog::LastTerm() const
{
  return mEntries.empty() ? mBaseTerm : mEntries.back().mTerm;
}

std::optional<Term>
ReplicatedLog::TermAt(LogIndex aIndex) const
{
  if (aIndex == mBaseIndex) {
    return mBaseTerm;
  }
  return Holds(aIndex) ? std::optional(At(aIndex).mTerm) : std::nullopt;
}

bool
ReplicatedLog::Holds(LogIndex aIndex) const
{
  return aIndex > mBaseIndex && aIndex <= LastIndex();
}

const LogEntry&
ReplicatedLog::At(LogIndex aIndex) const
{
  PERIDOTSPOOL_INVARIANT(Holds(aIndex));
  return mEntries[aIndex.Value() - mBaseIndex.Value() - 1];
}

std::vector<LogEntry>
ReplicatedLog::Slice(LogIndex aFrom, std::size_t aMaxCount) const
{
  std::vector<LogEntry> entries;
  for (LogIndex index = aFrom; Holds(index) && entries.size() < aMaxCount;
       index = index.Next()) {
    entries.push_back(At(index));
  }
  return entries;
}

void
ReplicatedLog::Append(LogEntry aEntry)
{
  PERIDOTSPOOL_INVARIANT(aEntry.mIndex == LastIndex().Next());
  mEntries.push_back(std::move(aEntry));
}

void
ReplicatedLog::CutFrom(LogIndex aIndex)
{
  PERIDOTSPOOL_INVARIANT(aIndex > mBaseIndex);
  while (!mEntries.empty() && mEntries.back().mIndex >= aIndex) {
    mEntries.pop_back();
  }
}

void
ReplicatedLog::DropThrough(LogIndex aIndex)
{
  mBaseTerm = At(aIndex).mTerm;
  mBaseIndex = aIndex;
  while (!mEntries.empty() && mEntries.front().mIndex <= aIndex) {
    mEntries.pop_front();
  }
}

} // namespace peridotspool::control
