// What a coordinator knows of the limits of upstreams.

#include "peridotspool/limits/PermitAllocator.h"

namespace peridotspool::limits {

namespace {

/** Bounds the memory that messages of other processes can allocate here. */
constexpr std::size_t kMaxRecords = 4096;
/** By then a statement has reached the coordinator. */
constexpr Duration kMaxReordering = std::chrono::seconds(1);

} // namespace

// Returns null for an earlier incarnation, or if there is no room.
PermitAllocator::Record*
PermitAllocator::FindOrAdd(const UpstreamName& aUpstream,
                           Incarnation aIncarnation,
                           double aPerSecond,
                           TimePoint aNow)
{
  auto found = mRecords.find(aUpstream);
  if (found != mRecords.end() && aIncarnation < found->second.mIncarnation) {
    return nullptr;
  }
  if (found != mRecords.end() && aIncarnation > found->second.mIncarnation) {
    mRecords.erase(found);
    found = mRecords.end();
  }
  if (found == mRecords.end()) {
    if (mRecords.size() >= kMaxRecords) {
      return nullptr;
    }
    found = mRecords.try_emplace(aUpstream, aPerSecond, aNow).first;
    found->second.mIncarnation = aIncarnation;
  }
  found->second.mUsedAt = aNow;
  return &found->second;
}

// Entries learn of a change at different times; the newest statement counts.
// Statements overtake each other, so a higher one is applied only if it is
// certainly newer.
bool
PermitAllocator::ApplyLimit(Record& aRecord,
                            double aPerSecond,
                            TimePoint aStatedAt,
                            TimePoint aNow)
{
  if (aStatedAt <= aRecord.mEndedAt.value_or(TimePoint::min()) ||
      aStatedAt < aRecord.mStatedAt) {
    return false;
  }
  const bool isRise = !aRecord.mEndedAt &&
                      aPerSecond > aRecord.mBucket.PerSecond() &&
                      aRecord.mStatedAt != TimePoint::min();
  if (isRise && aStatedAt - aRecord.mStatedAt < kMaxReordering) {
    return false;
  }
  const bool changed = aRecord.mEndedAt ||
                       aRecord.mStatedAt == TimePoint::min() ||
                       aRecord.mBucket.PerSecond() != aPerSecond;
  aRecord.mStatedAt = aStatedAt;
  if (aRecord.mEndedAt) {
    aRecord.mEndedAt.reset();
    aRecord.mBucket = PermitBucket(aPerSecond, aNow);
  }
  aRecord.mBucket.SetRate(aPerSecond, aNow);
  return changed;
}

bool
PermitAllocator::HandleReport(const LimitReport& aReport, TimePoint aNow)
{
  if (aReport.mPerSecond <= 0.0) {
    return ApplyEnd(aReport, aNow);
  }
  Record* const record = FindOrAdd(
    aReport.mUpstream, aReport.mIncarnation, aReport.mPerSecond, aNow);
  if (record == nullptr) {
    return false;
  }
  record->mDomain = aReport.mDomain;
  record->mIsConfirmed = true;
  return ApplyLimit(*record, aReport.mPerSecond, aNow, aNow);
}

// Only a response to a request that was sent after the last statement shows
// that the limit has ended. The grant of the request's permit proves the order.
bool
PermitAllocator::ApplyEnd(const LimitReport& aReport, TimePoint aNow)
{
  const auto found = mRecords.find(aReport.mUpstream);
  if (found == mRecords.end() || found->second.mEndedAt ||
      found->second.mIncarnation != aReport.mIncarnation ||
      aReport.mReceipt.mAllocatorId != mAllocatorId) {
    return false;
  }
  Record& record = found->second;
  const TimePoint grantedAt{ Duration(aReport.mReceipt.mGrantedAt) };
  if (grantedAt <= record.mStatedAt) {
    return false;
  }
  record.mEndedAt = aNow;
  return true;
}

void
PermitAllocator::RecordUnpermitted(const UpstreamName& aUpstream,
                                   TimePoint aNow)
{
  const auto found = mRecords.find(aUpstream);
  if (found != mRecords.end() && !found->second.mEndedAt) {
    found->second.mBucket.Charge(aNow);
  }
}

} // namespace peridotspool::limits
