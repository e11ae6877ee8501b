#include "ledger/Shard.h"

#include <algorithm>

namespace peridotspool::ledger {

bool
Shard::Includes(MemberId aMember) const
{
  return std::find(mSet.begin(), mSet.end(), aMember) != mSet.end();
}

void
RecordActivation(Shard& aShard)
{
  aShard.mActivated = aShard.mInterval;
  aShard.mActivatedSet = aShard.mSet;
  aShard.mLater.clear();
  aShard.mLaterIsComplete = true;
  aShard.mVanished.reset();
  aShard.mFill.reset();
  aShard.mOutOfOrder.clear();
}

void
DropCopy(Shard& aShard)
{
  aShard.mActivated = EpochNumber();
  aShard.mActivatedSet.clear();
  aShard.mStore = RecordStore();
  aShard.mLog = ShardLog();
  aShard.mLater.clear();
  aShard.mLaterIsComplete = true;
  aShard.mFill.reset();
  aShard.mOutOfOrder.clear();
}

ShardReport
ReportOf(const Shard& aShard, TimePoint aNow)
{
  return { .mShard = aShard.mId,
           .mActivated = aShard.mActivated,
           .mActivatedSet = aShard.mActivatedSet,
           .mLast = aShard.mLog.Last(),
           .mLater = aShard.mLater,
           .mLaterIsComplete = aShard.mLaterIsComplete,
           .mVanished = aShard.mVanished,
           .mLossRemaining =
             std::max(Duration::zero(), aShard.mLossUntil - aNow) };
}

} // namespace peridotspool::ledger
