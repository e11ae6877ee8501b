#include "routing/UpstreamTable.h"

#include <algorithm>

namespace peridotspool::routing {

namespace {

constexpr double kMicrosPerUnit = 1e6;
/**
 * What this entry sent since a report stands for what the others sent too. The
 * true factor is their number, but one entry's few sends are a noisy measure
 * of it; the queue model's figures are best at two to three.
 */
constexpr double kOwnWeight = 2;
/** Weight of the newest request in the mean times. */
constexpr double kLearnRate = 0.1;

double
Mean(double aMean, double aNewest)
{
  return aMean == 0 ? aNewest : aMean + kLearnRate * (aNewest - aMean);
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
    mFigures.emplace_back();
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
UpstreamTable::IsNews(const UpstreamAnnouncement& aAnnouncement) const
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
    ejection.Return(mOptions.mEjection);
    --PoolOf(aIndex).mEjected;
  }
}

std::optional<AnnouncementTaken>
UpstreamTable::Announce(const UpstreamAnnouncement& aAnnouncement,
                        TimePoint aNow)
{
  if (!IsNews(aAnnouncement)) {
    return std::nullopt;
  }
  const UpstreamIndex index = IndexOf(aAnnouncement);
  UpstreamDetail& detail = mDetails[index];
  const bool newLife =
    aAnnouncement.mIncarnation > detail.mAnnouncement.mIncarnation;
  if (newLife || aAnnouncement.mService != detail.mAnnouncement.mService) {
    StopServing(index);
    EndEjection(index);
  }
  if (newLife) {
    detail = UpstreamDetail();
    mFigures[index] = UpstreamFigures();
  }
  // An upstream that has said it leaves is sure to go. News of the same life
  // that says otherwise was sent before, or by mistake; taking it would give
  // new work to an instance that is about to be taken away.
  detail.mLeaving =
    detail.mLeaving || aAnnouncement.mState == UpstreamState::kLeaving;
  detail.mAnnouncement = aAnnouncement;
  detail.mAnnouncement.mState =
    detail.mLeaving ? UpstreamState::kLeaving : UpstreamState::kServing;
  TakeFigures(index, aNow);
  UpdateServing(index, aNow);
  return AnnouncementTaken{ .mIndex = index, .mNewLife = newLife };
}

void
UpstreamTable::UpdateLoad(UpstreamIndex aIndex)
{
  const double weight = mOptions.mOthersSend ? kOwnWeight : 1;
  mFigures[aIndex].mLoad =
    static_cast<float>(mDetails[aIndex].mLoad.Load(weight));
}

void
UpstreamTable::TakeFigures(UpstreamIndex aIndex, TimePoint aNow)
{
  UpstreamDetail& detail = mDetails[aIndex];
  const UpstreamAnnouncement& news = detail.mAnnouncement;
  UpstreamFigures& figures = mFigures[aIndex];
  figures.mExpires = aNow + std::min(news.mLease, mOptions.mMaxLease);
  detail.mForgetAt = figures.mExpires + mOptions.mForgetAfter;
  detail.mLoad.Report(news.mRunning + news.mWaiting, aNow - news.mLoadAge);
  UpdateLoad(aIndex);
  figures.mSlots = std::max<std::uint32_t>(1, news.mSlots);
  figures.mFirstTokenMicros = static_cast<float>(news.mFirstToken.count());
  figures.mPrice = static_cast<float>(
    static_cast<double>(news.mPriceMicrosPerHour) / kMicrosPerUnit);
  ServicePool& pool = PoolOf(aIndex);
  pool.mHighestPrice = std::max<double>(pool.mHighestPrice, figures.mPrice);
}

void
UpstreamTable::UpdateServing(UpstreamIndex aIndex, TimePoint aNow)
{
  UpstreamDetail& detail = mDetails[aIndex];
  const bool serves = !detail.mLeaving && !detail.mEjection.IsEjected() &&
                      aNow < mFigures[aIndex].mExpires;
  if (!serves) {
    StopServing(aIndex);
  } else if (detail.mServingAt == kNotServing) {
    std::vector<UpstreamIndex>& serving = PoolOf(aIndex).mServing;
    detail.mServingAt = static_cast<std::uint32_t>(serving.size());
    serving.push_back(aIndex);
  }
}

void
UpstreamTable::StopServing(UpstreamIndex aIndex)
{
  UpstreamDetail& detail = mDetails[aIndex];
  if (detail.mServingAt == kNotServing) {
    return;
  }
  std::vector<UpstreamIndex>& serving = PoolOf(aIndex).mServing;
  const UpstreamIndex last = serving.back();
  serving[detail.mServingAt] = last;
  mDetails[last].mServingAt = detail.mServingAt;
  serving.pop_back();
  detail.mServingAt = kNotServing;
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
    if (mFigures[index].mExpires <= aNow) {
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
  mFigures[aIndex] = UpstreamFigures();
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
  // An end whose sending was forgotten, with the life it belonged to, says
  // nothing about the present one.
  if (detail.mLoad.Own() == 0) {
    return;
  }
  const Duration took = detail.mLoad.Ended(aNow);
  UpdateLoad(aIndex);
  bool eject = false;
  if (aEnd == AttemptEnd::kCompleted) {
    const Duration mean(static_cast<Duration::rep>(PoolOf(aIndex).mHoldMicros));
    eject = detail.mEjection.OnCompleted(took, mean, mOptions.mEjection);
    Learn(aIndex, took, aNow);
  } else if (aEnd != AttemptEnd::kCancelled) {
    eject = detail.mEjection.OnFailure(mOptions.mEjection);
  }
  if (eject) {
    TryEject(aIndex, aNow);
  }
}

void
UpstreamTable::Learn(UpstreamIndex aIndex, Duration aTook, TimePoint aNow)
{
  const auto took = static_cast<double>(aTook.count());
  UpstreamFigures& figures = mFigures[aIndex];
  const double mean = aNow < figures.mHoldExpires ? figures.mHoldMicros : 0;
  figures.mHoldMicros = static_cast<float>(Mean(mean, took));
  figures.mHoldExpires = aNow + mOptions.mHoldAge;
  ServicePool& pool = PoolOf(aIndex);
  pool.mHoldMicros = Mean(pool.mHoldMicros, took);
}

/**
 * Ejects unless too many are ejected already: when most of a service fails,
 * the cause is not one upstream, and ejecting on would send everything to the
 * last one standing and bring it down too.
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
    if (aNow < mFigures[index].mExpires) {
      present.push_back(mDetails[index].mAnnouncement);
    }
  }
  std::sort(present.begin(), present.end());
  return present;
}

} // namespace peridotspool::routing
