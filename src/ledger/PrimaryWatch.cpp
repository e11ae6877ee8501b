#include "ledger/ShardPrimary.h"

#include <utility>

namespace peridotspool::ledger {

namespace {

/** Maximum number of expired records of one shard that one tick deletes. */
constexpr int kForgetBatch = 64;

} // namespace

void
ShardPrimary::Announce(Shard& aShard,
                       const RequestKey& aKey,
                       TimePoint aNextAlarm)
{
  const StoredRecord* stored = aShard.mStore.Find(aKey);
  mContext.mEffects.emplace_back(
    OrphanedEffect{ .mRecord = stored->mRecord,
                    .mRemaining = stored->mDeadline - mContext.mNow });
  aShard.mStore.MarkAnnounced(aKey);
  aShard.mStore.SetAlarm(aKey, aNextAlarm);
}

// The requester may have left the member list while its operation waited here.
// The search for orphans at the epoch change has already run by then, so the
// record is checked again soon.
void
ShardPrimary::WatchExecutor(Shard& aShard, const RequestKey& aKey)
{
  const StoredRecord* stored = aShard.mStore.Find(aKey);
  if (stored != nullptr && !mContext.IsMember(stored->mRecord.mExecutor)) {
    aShard.mStore.SetAlarm(aKey,
                           mContext.mNow + mContext.mOptions.mOrphanInterval);
  }
}

void
ShardPrimary::AnnounceOrphans(Shard& aShard)
{
  std::vector<std::pair<RequestKey, TimePoint>> orphans;
  for (const auto& [alarm, key] : aShard.mStore.Unfinished()) {
    const StoredRecord& stored = *aShard.mStore.Find(*key);
    const MemberId executor = stored.mRecord.mExecutor;
    const bool announced =
      stored.mAnnouncedTurn == stored.mRecord.mExecutorTurn;
    if (!mContext.IsMember(executor)) {
      orphans.emplace_back(*key,
                           mContext.mNow + mContext.mOptions.mOrphanInterval);
    } else if (mContext.IsDraining(executor) && !announced) {
      orphans.emplace_back(*key, alarm);
    }
  }
  for (const auto& [key, nextAlarm] : orphans) {
    Announce(aShard, key, nextAlarm);
  }
}

// A request whose executor has crashed unnoticed or hangs must still be
// answered: after its deadline the request module of the primary ends it.
void
ShardPrimary::AnnounceOverdue(Shard& aShard)
{
  const RecordStore::Alarms& alarms = aShard.mStore.Unfinished();
  while (!alarms.empty() && alarms.begin()->first <= mContext.mNow) {
    const RequestKey key = *alarms.begin()->second;
    Announce(aShard, key, mContext.mNow + mContext.mOptions.mOrphanInterval);
  }
}

void
ShardPrimary::ForgetExpired(Shard& aShard)
{
  const RecordStore::Alarms& alarms = aShard.mStore.Finished();
  for (int i = 0; i < kForgetBatch; ++i) {
    if (alarms.empty() || alarms.begin()->first > mContext.mNow) {
      return;
    }
    Propose(aShard,
            { .mOrigin = Origin(),
              .mKey = *alarms.begin()->second,
              .mOperation = ForgetOperation{ .mExpired = true } });
  }
}

} // namespace peridotspool::ledger
