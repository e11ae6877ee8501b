#include "peridotspool/control/ReplicatedLog.h"

#include "control/EncodedSize.h"
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
  return mEntries.empty() ? mBaseIndex : mEntries.back().mEntry.mIndex;
}

Term
ReplicatedLog::LastTerm() const
{
  return mEntries.empty() ? mBaseTerm : mEntries.back().mEntry.mTerm;
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

const ReplicatedLog::SizedEntry&
ReplicatedLog::SizedAt(LogIndex aIndex) const
{
  PERIDOTSPOOL_INVARIANT(Holds(aIndex));
  return mEntries[aIndex.Value() - mBaseIndex.Value() - 1];
}

const LogEntry&
ReplicatedLog::At(LogIndex aIndex) const
{
  return SizedAt(aIndex).mEntry;
}

std::size_t
ReplicatedLog::BytesAfter(LogIndex aIndex) const
{
  std::size_t bytes = 0;
  for (auto entry = mEntries.rbegin();
       entry != mEntries.rend() && entry->mEntry.mIndex > aIndex;
       ++entry) {
    bytes += entry->mBytes;
  }
  return bytes;
}

LogIndex
ReplicatedLog::BeforeLatest(LogIndex aIndex,
                            std::size_t aMaxCount,
                            std::size_t aMaxBytes) const
{
  LogIndex index = aIndex;
  std::size_t bytes = 0;
  for (std::size_t count = 0; count < aMaxCount && Holds(index); ++count) {
    bytes += SizedAt(index).mBytes;
    if (bytes > aMaxBytes) {
      break;
    }
    index = LogIndex(index.Value() - 1);
  }
  return index;
}

std::vector<LogEntry>
ReplicatedLog::Slice(LogIndex aFrom,
                     std::size_t aMaxCount,
                     std::size_t aMaxBytes) const
{
  std::vector<LogEntry> entries;
  std::size_t bytes = 0;
  for (LogIndex index = aFrom; Holds(index) && entries.size() < aMaxCount;
       index = index.Next()) {
    const SizedEntry& entry = SizedAt(index);
    bytes += entry.mBytes;
    if (bytes > aMaxBytes && !entries.empty()) {
      break;
    }
    entries.push_back(entry.mEntry);
  }
  return entries;
}

void
ReplicatedLog::Append(LogEntry aEntry)
{
  PERIDOTSPOOL_INVARIANT(aEntry.mIndex == LastIndex().Next());
  const std::size_t bytes = EncodedSize(aEntry);
  mEntries.push_back({ .mEntry = std::move(aEntry), .mBytes = bytes });
}

void
ReplicatedLog::CutFrom(LogIndex aIndex)
{
  PERIDOTSPOOL_INVARIANT(aIndex > mBaseIndex);
  while (!mEntries.empty() && mEntries.back().mEntry.mIndex >= aIndex) {
    mEntries.pop_back();
  }
}

void
ReplicatedLog::DropThrough(LogIndex aIndex)
{
  mBaseTerm = At(aIndex).mTerm;
  mBaseIndex = aIndex;
  while (!mEntries.empty() && mEntries.front().mEntry.mIndex <= aIndex) {
    mEntries.pop_front();
  }
}

} // namespace peridotspool::control
