#include "peridotspool/gateway/LoadCoordinator.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace peridotspool::gateway {

namespace {

/**
 * Longer than any response takes: by then the entry that sent the request is
 * gone, or its last message was lost.
 */
constexpr Duration kMaxSendAge = std::chrono::seconds(20);
/** Records that were not used for this long are dropped. */
constexpr Duration kMaxIdleAge = std::chrono::minutes(5);
/**
 * Fraction of the engine's memory that holds prefixes; running requests occupy
 * the rest.
 */
constexpr double kPrefixCacheFraction = 0.8;
/** Assumed capacity of an engine whose capacity is unknown. */
constexpr std::uint64_t kDefaultCacheTokens = 500000;
/** Bounds on the memory that messages of other processes can allocate here. */
constexpr std::size_t kMaxRecords = 4096;
constexpr std::size_t kMaxSends = 1024;
constexpr std::size_t kMaxQueriedUpstreams = 64;

std::uint32_t
Microseconds(Duration aDuration)
{
  const auto micros =
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
    micros, 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

void
LoadCoordinator::Handle(const SendStartedReport& aReport, TimePoint aNow)
{
  if (!mRecords.contains(aReport.mUpstream) && mRecords.size() >= kMaxRecords) {
    return;
  }
  UpstreamRecord& record = mRecords[aReport.mUpstream];
  if (aReport.mIncarnation < record.mIncarnation) {
    return;
  }
  if (aReport.mIncarnation > record.mIncarnation) {
    // Earlier sends went to a process that is gone.
    record = UpstreamRecord{};
    record.mIncarnation = aReport.mIncarnation;
  }
  record.mUsedAt = aNow;
  if (record.mSpeed) {
    record.mSpeed->mExpectedSends.RecordSend();
    record.mSpeed->mLastPrefillTime =
      std::chrono::microseconds(aReport.mPrefillUs);
  }
  const auto cacheTokens = static_cast<double>(
    aReport.mCacheTokens == 0 ? kDefaultCacheTokens : aReport.mCacheTokens);
  record.mPrefixes.RecordUse(
    aReport.mParts,
    static_cast<std::uint64_t>(kPrefixCacheFraction * cacheTokens));
  if (record.mSends.size() >= kMaxSends) {
    return;
  }
  const Duration prefillTime = std::chrono::microseconds(aReport.mPrefillUs);
  if (aReport.mAccount && !record.mShared) {
    record.mShared =
      std::make_unique<SharedCapacity>(record.mPrefillQueue.Wait(aNow), aNow);
  }
  if (record.mShared) {
    record.mShared->Start(aReport.mSendId, aReport.mAccount, prefillTime, aNow);
  }
  record.mSends[aReport.mSendId] = { .mPrefillTime = prefillTime,
                                     .mPrefillDueAt = record.mPrefillQueue.Add(
                                       prefillTime, aNow),
                                     .mSentAt = aNow };
}

void
LoadCoordinator::Handle(const PrefillDoneReport& aReport, TimePoint aNow)
{
  const auto record = mRecords.find(aReport.mUpstream);
  if (record == mRecords.end()) {
    return;
  }
  const auto send = record->second.mSends.find(aReport.mSendId);
  if (send != record->second.mSends.end()) {
    record->second.mPrefillQueue.RecordPrefillDone(send->second.mPrefillDueAt,
                                                   aNow);
    if (record->second.mShared) {
      record->second.mShared->RecordPrefillDone(aReport.mSendId, aNow);
    }
    LearnPrefill(record->second, send->second, aReport, aNow);
  }
}

void
LoadCoordinator::Handle(const SendEndedReport& aReport, TimePoint aNow)
{
  const auto record = mRecords.find(aReport.mUpstream);
  if (record == mRecords.end()) {
    return;
  }
  const auto send = record->second.mSends.find(aReport.mSendId);
  if (send == record->second.mSends.end()) {
    return;
  }
  if (!aReport.mPrefillDone) {
    record->second.mPrefillQueue.RemovePending(send->second.mPrefillTime);
  }
  if (record->second.mShared) {
    record->second.mShared->End(aReport.mSendId, aReport.mUsedTokens, aNow);
  }
  record->second.mFailures.Record(aReport.mFailed, aNow);
  if (aReport.mObservation) {
    Learn(record->second, *aReport.mObservation, aNow);
  }
  record->second.mSends.erase(send);
}

LoadResponse
LoadCoordinator::HandleQuery(const LoadQuery& aQuery, TimePoint aNow) const
{
  LoadResponse response{ .mTag = aQuery.mTag, .mLoads = {}, .mLimits = {} };
  for (const UpstreamName& name : aQuery.mUpstreams) {
    if (response.mLoads.size() == kMaxQueriedUpstreams) {
      break;
    }
    UpstreamLoad load{ .mUpstream = name };
    const auto found = mRecords.find(name);
    if (found != mRecords.end()) {
      const UpstreamRecord& record = found->second;
      load.mWaitUs = Microseconds(record.mPrefillQueue.Wait(aNow));
      load.mRunning = static_cast<std::uint32_t>(record.mSends.size());
      load.mCachedTokens = static_cast<std::uint32_t>(
        record.mPrefixes.CachedTokens(aQuery.mParts));
      load.mFailurePercent = record.mFailures.Percent(aNow);
      if (aQuery.mAccount && record.mShared) {
        load.mWaitUs =
          Microseconds(record.mShared->Wait(*aQuery.mAccount, aNow));
        load.mRunning -= static_cast<std::uint32_t>(std::min<std::size_t>(
          load.mRunning, record.mShared->Passed(*aQuery.mAccount, aNow)));
        load.mSharePercent =
          record.mShared->SharePercent(*aQuery.mAccount, aNow);
      }
      AddSpeed(load, record, aNow);
    }
    response.mLoads.push_back(std::move(load));
  }
  return response;
}

std::size_t
LoadCoordinator::Running(const UpstreamName& aUpstream) const
{
  const auto record = mRecords.find(aUpstream);
  return record == mRecords.end() ? 0 : record->second.mSends.size();
}

std::size_t
LoadCoordinator::RunningSince(const UpstreamName& aUpstream,
                              TimePoint aSince) const
{
  const auto record = mRecords.find(aUpstream);
  if (record == mRecords.end()) {
    return 0;
  }
  const auto& sends = record->second.mSends;
  return static_cast<std::size_t>(
    std::count_if(sends.begin(), sends.end(), [&](const auto& aPair) {
      return aPair.second.mSentAt >= aSince;
    }));
}

std::optional<TimePoint>
LoadCoordinator::SentAt(const UpstreamName& aUpstream,
                        std::uint64_t aSendId) const
{
  const auto record = mRecords.find(aUpstream);
  if (record == mRecords.end()) {
    return std::nullopt;
  }
  const auto send = record->second.mSends.find(aSendId);
  return send == record->second.mSends.end()
           ? std::nullopt
           : std::optional(send->second.mSentAt);
}

void
LoadCoordinator::RemoveExpired(TimePoint aNow)
{
  for (auto& [name, record] : mRecords) {
    std::erase_if(record.mSends, [&](const auto& aPair) {
      return aNow - aPair.second.mSentAt >= kMaxSendAge;
    });
    if (record.mShared) {
      record.mShared->RemoveExpired(kMaxSendAge, aNow);
    }
  }
  std::erase_if(mRecords, [&](const auto& aPair) {
    return aPair.second.mSends.empty() &&
           aNow - aPair.second.mUsedAt >= kMaxIdleAge;
  });
}

} // namespace peridotspool::gateway
