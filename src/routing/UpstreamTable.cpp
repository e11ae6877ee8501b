#include "routing/UpstreamTable.h"

#include <algorithm>

namespace peridotspool::routing {

namespace {

constexpr double kMicrosPerUnit = 1e6;
/**
 * Weight of this entry's own sends since a report. They also represent what
 * other entries sent. The exact factor is the number of entries, but the few
 * sends of one entry are a noisy sample; the queue model gives the best results
 * at two to three.
 */
constexpr double kOwnSendWeight = 2;
/** Weight of the newest request in the mean times. */
constexpr double kEwmaWeight = 0.1;

double
Mean(double aMean, double aNewest)
{
  return aMean == 0 ? aNewest : aMean + kEwmaWeight * (aNewest - aMean);
}

} // namespace

UpstreamTable::UpstreamTable(const RouterOptions& aOptions)
  : mOptions(aOptions)
{
}

ServicePool&
UpstreamTable::PoolOf(UpstreamIndex aIndex)
{
  return mPools[mDetails[aIndex].mAnnouncement.mService];
}

UpstreamIndex
UpstreamTable::IndexOf(const UpstreamAnnouncement& aAnnouncement)
{
  const auto [found, added] = mByName.emplace(aAnnouncement.mName, 0);
  if (added && mFree.empty()) {
    found->second = static_cast<UpstreamIndex>(mDetails.size());
    mDetails.emplace_back();
    mStats.emplace_back();
  } else if (added) {
    found->second = mFree.back();
    mFree.pop_back();
  }
  if (added) {
    mDetails[found->second].mAnnouncement.mService = aAnnouncement.mService;
  }
  return found->second;
}

bool
UpstreamTable::IsNewer(const UpstreamAnnouncement& aAnnouncement) const
{
  const auto found = mByName.find(aAnnouncement.mName);
  if (found == mByName.end()) {
    return aAnnouncement.mName.IsSet() &&
           mByName.size() < mOptions.mMaxUpstreams;
  }
  const UpstreamAnnouncement& known = mDetails[found->second].mAnnouncement;
  return std::pair(aAnnouncement.mIncarnation, aAnnouncement.mSequence) >
         std::pair(known.mIncarnation, known.mSequence);
}

void
UpstreamTable::EndEjection(UpstreamIndex aIndex)
{
  Ejection& ejection = mDetails[aIndex].mEjection;
  if (ejection.IsEjected()) {
    ejection.Readmit(mOptions.mEjection);
    --PoolOf(aIndex).mEjected;
  }
}

std::optional<AnnouncementResult>
UpstreamTable::Announce(const UpstreamAnnouncement& aAnnouncement,
                        TimePoint aNow)
{
  if (!IsNewer(aAnnouncement)) {
    return std::nullopt;
  }
  const UpstreamIndex index = IndexOf(aAnnouncement);
  UpstreamDetail& detail = mDetails[index];
  const bool newIncarnation =
    aAnnouncement.mIncarnation > detail.mAnnouncement.mIncarnation;
  if (newIncarnation ||
      aAnnouncement.mService != detail.mAnnouncement.mService) {
    StopServing(index);
    EndEjection(index);
  }
  if (newIncarnation) {
    detail = UpstreamDetail();
    mStats[index] = UpstreamStats();
  }
  // An upstream that has announced that it leaves does leave. A contradicting
  // announcement of the same incarnation was sent earlier or by mistake;
  // applying it would send new requests to an instance that is about to be
  // terminated.
  detail.mLeaving =
    detail.mLeaving || aAnnouncement.mState == UpstreamState::kLeaving;
  detail.mAnnouncement = aAnnouncement;
  detail.mAnnouncement.mState =
    detail.mLeaving ? UpstreamState::kLeaving : UpstreamState::kServing;
  UpdateStats(index, aNow);
  UpdateServing(index, aNow);
  return AnnouncementResult{ .mIndex = index,
                             .mNewIncarnation = newIncarnation };
}

void
UpstreamTable::UpdateLoad(UpstreamIndex aIndex)
{
  const double weight = mOptions.mOtherEntriesSend ? kOwnSendWeight : 1;
  mStats[aIndex].mLoad =
    static_cast<float>(mDetails[aIndex].mLoad.Load(weight));
}

void
UpstreamTable::UpdateStats(UpstreamIndex aIndex, TimePoint aNow)
{
  UpstreamDetail& detail = mDetails[aIndex];
  const UpstreamAnnouncement& announcement = detail.mAnnouncement;
  UpstreamStats& stats = mStats[aIndex];
  stats.mExpires = aNow + std::min(announcement.mLease, mOptions.mMaxLease);
  detail.mForgetAt = stats.mExpires + mOptions.mForgetAfter;
  detail.mLoad.Report(announcement.mRunning + announcement.mWaiting,
                      aNow - announcement.mLoadAge);
  UpdateLoad(aIndex);
  stats.mSlots = std::max<std::uint32_t>(1, announcement.mSlots);
  stats.mFirstTokenMicros =
    static_cast<float>(announcement.mFirstToken.count());
  stats.mPrice = static_cast<float>(
    static_cast<double>(announcement.mPriceMicrosPerHour) / kMicrosPerUnit);
  ServicePool& pool = PoolOf(aIndex);
  pool.mHighestPrice = std::max<double>(pool.mHighestPrice, stats.mPrice);
}

void
UpstreamTable::UpdateServing(UpstreamIndex aIndex, TimePoint aNow)
{
  UpstreamDetail& detail = mDetails[aIndex];
  const bool serves = !detail.mLeaving && !detail.mEjection.IsEjected() &&
                      aNow < mStats[aIndex].mExpires;
  if (!serves) {
    StopServing(aIndex);
  } else if (detail.mServingIndex == kNotServing) {
    std::vector<UpstreamIndex>& serving = PoolOf(aIndex).mServing;
    detail.mServingIndex = static_cast<std::uint32_t>(serving.size());
    serving.push_back(aIndex);
  }
}

void
UpstreamTable::StopServing(UpstreamIndex aIndex)
{
  UpstreamDetail& detail = mDetails[aIndex];
  if (detail.mServingIndex == kNotServing) {
    return;
  }
  std::vector<UpstreamIndex>& serving = PoolOf(aIndex).mServing;
  const UpstreamIndex last = serving.back();
  serving[detail.mServingIndex] = last;
  mDetails[last].mServingIndex = detail.mServingIndex;
  serving.pop_back();
  detail.mServingIndex = kNotServing;
}

void
UpstreamTable::Tick(TimePoint aNow)
{
  for (UpstreamIndex index = 0; index < mDetails.size(); ++index) {
    UpstreamDetail& detail = mDetails[index];
    if (!detail.mAnnouncement.mName.IsSet()) {
      continue;
    }
    if (detail.mEjection.IsEjected() && detail.mEjection.Until() <= aNow) {
      EndEjection(index);
      UpdateServing(index, aNow);
    }
    if (mStats[index].mExpires <= aNow) {
      StopServing(index);
    }
    if (detail.mForgetAt <= aNow) {
      Forget(index);
    }
  }
}

void
UpstreamTable::Forget(UpstreamIndex aIndex)
{
  StopServing(aIndex);
  EndEjection(aIndex);
  mByName.erase(mDetails[aIndex].mAnnouncement.mName);
  mDetails[aIndex] = UpstreamDetail();
  mStats[aIndex] = UpstreamStats();
  mFree.push_back(aIndex);
}

void
UpstreamTable::Sent(UpstreamIndex aIndex, TimePoint aNow)
{
  mDetails[aIndex].mLoad.Sent(aNow);
  UpdateLoad(aIndex);
}

void
UpstreamTable::Ended(UpstreamIndex aIndex, AttemptEnd aEnd, TimePoint aNow)
{
  UpstreamDetail& detail = mDetails[aIndex];
  // The request was sent to an earlier incarnation, whose state was dropped.
  // Its end says nothing about the current one.
  if (detail.mLoad.Own() == 0) {
    return;
  }
  const Duration duration = detail.mLoad.Ended(aNow);
  UpdateLoad(aIndex);
  bool eject = false;
  if (aEnd == AttemptEnd::kCompleted) {
    const Duration mean(static_cast<Duration::rep>(PoolOf(aIndex).mHoldMicros));
    eject = detail.mEjection.OnCompleted(duration, mean, mOptions.mEjection);
    RecordHoldTime(aIndex, duration, aNow);
  } else if (aEnd != AttemptEnd::kCancelled &&
             aEnd != AttemptEnd::kTurnedAway) {
    eject = detail.mEjection.OnFailure(mOptions.mEjection);
  }
  if (eject) {
    TryEject(aIndex, aNow);
  }
}

void
UpstreamTable::RecordHoldTime(UpstreamIndex aIndex,
                              Duration aDuration,
                              TimePoint aNow)
{
  const auto duration = static_cast<double>(aDuration.count());
  UpstreamStats& stats = mStats[aIndex];
  const double mean = aNow < stats.mHoldExpires ? stats.mHoldMicros : 0;
  stats.mHoldMicros = static_cast<float>(Mean(mean, duration));
  stats.mHoldExpires = aNow + mOptions.mHoldTimeMaxAge;
  ServicePool& pool = PoolOf(aIndex);
  pool.mHoldMicros = Mean(pool.mHoldMicros, duration);
}

/**
 * Ejects the upstream unless too many are ejected already. When most of a
 * service fails, the cause is not a single upstream; further ejections would
 * send all requests to the last ones and overload them too.
 */
void
UpstreamTable::TryEject(UpstreamIndex aIndex, TimePoint aNow)
{
  UpstreamDetail& detail = mDetails[aIndex];
  ServicePool& pool = PoolOf(aIndex);
  const auto present =
    static_cast<double>(pool.mServing.size() + pool.mEjected);
  const bool tooMany = static_cast<double>(pool.mEjected + 1) >
                       present * mOptions.mEjection.mMaxShare;
  if (detail.mEjection.IsEjected() || tooMany) {
    return;
  }
  detail.mEjection.Eject(mOptions.mEjection, aNow);
  ++pool.mEjected;
  ++mEjections;
  StopServing(aIndex);
}

std::optional<UpstreamIndex>
UpstreamTable::Find(const UpstreamName& aName) const
{
  const auto found = mByName.find(aName);
  if (found == mByName.end()) {
    return std::nullopt;
  }
  return found->second;
}

const ServicePool*
UpstreamTable::Pool(const ServiceName& aService) const
{
  const auto found = mPools.find(aService);
  return found == mPools.end() ? nullptr : &found->second;
}

std::vector<UpstreamAnnouncement>
UpstreamTable::Present(TimePoint aNow) const
{
  std::vector<UpstreamAnnouncement> present;
  for (const auto& [name, index] : mByName) {
    if (aNow < mStats[index].mExpires) {
      present.push_back(mDetails[index].mAnnouncement);
    }
  }
  std::sort(present.begin(), present.end());
  return present;
}

} // namespace peridotspool::routing
