#include "ledger/ShardLog.h"

namespace peridotspool::ledger {

bool
ShardLog::Knows(const LogVersion& aVersion) const
{
  if (aVersion == mBase) {
    return true;
  }
  if (aVersion.mSequence <= mBase.mSequence ||
      aVersion.mSequence > mLast.mSequence) {
    return false;
  }
  const std::uint64_t index =
    aVersion.mSequence.Value() - mBase.mSequence.Value() - 1;
  return mEntries[index].mVersion == aVersion;
}

std::vector<LogEntry>
ShardLog::After(const LogVersion& aVersion) const
{
  const std::uint64_t skipped =
    aVersion.mSequence.Value() - mBase.mSequence.Value();
  return { mEntries.begin() + static_cast<std::ptrdiff_t>(skipped),
           mEntries.end() };
}

void
ShardLog::Append(LogEntry aEntry, std::uint32_t aMaxEntries)
{
  mLast = aEntry.mVersion;
  mEntries.push_back(std::move(aEntry));
  while (mEntries.size() > aMaxEntries) {
    mBase = mEntries.front().mVersion;
    mEntries.pop_front();
  }
}

void
ShardLog::Restart(const LogVersion& aBase)
{
  mBase = aBase;
  mLast = aBase;
  mEntries.clear();
}

} // namespace peridotspool::ledger
