// Learning of upstreams' speeds from the sends of all entries.

#include "peridotspool/gateway/LoadCoordinator.h"

#include <algorithm>
#include <cmath>

namespace peridotspool::gateway {

namespace {

/** The longest time that the coordinator measures itself; beyond it the engine
 * was idle, or a report was lost. */
constexpr Duration kMaxPrefillTime = std::chrono::seconds(10);

} // namespace

void
LoadCoordinator::Learn(UpstreamRecord& aRecord,
                       const routing::WorkObservation& aObservation,
                       TimePoint aNow) const
{
  if (!mLearnsSpeed) {
    return;
  }
  if (!aRecord.mSpeed) {
    aRecord.mSpeed = std::make_unique<SpeedRecord>();
  }
  aRecord.mSpeed->mSpeed.Add(aObservation, aNow);
}

// An engine prefills one prompt after the other, so a prompt that was sent
// while another was being prefilled began when that one ended.
void
LoadCoordinator::LearnPrefill(UpstreamRecord& aRecord,
                              const Send& aSend,
                              const PrefillDoneReport& aReport,
                              TimePoint aNow) const
{
  if (!aReport.mObservation) {
    return;
  }
  routing::WorkObservation observation = *aReport.mObservation;
  if (observation.mTookUs == 0 && aRecord.mSpeed &&
      aRecord.mSpeed->mLastPrefillDoneAt > aSend.mSentAt) {
    const Duration took = aNow - aRecord.mSpeed->mLastPrefillDoneAt;
    observation.mTookUs =
      took < kMaxPrefillTime ? static_cast<std::uint32_t>(took.count()) : 0;
  }
  Learn(aRecord, observation, aNow);
  if (aRecord.mSpeed) {
    aRecord.mSpeed->mLastPrefillDoneAt = aNow;
  }
}

void
LoadCoordinator::ExpectSends(const LoadQuery& aQuery, TimePoint aNow)
{
  // An entry asks each coordinator about its own upstreams only, and sends to
  // one of all.
  const std::size_t candidates = std::max<std::size_t>(
    aQuery.mUpstreams.size(), aQuery.mCandidates.value_or(0));
  for (const UpstreamName& name : aQuery.mUpstreams) {
    const auto found = mRecords.find(name);
    if (found != mRecords.end() && found->second.mSpeed) {
      found->second.mSpeed->mExpectedSends.Add(
        1.0 / static_cast<double>(candidates), aNow);
    }
  }
}

void
LoadCoordinator::AddSpeed(UpstreamLoad& aLoad,
                          const UpstreamRecord& aRecord,
                          TimePoint aNow)
{
  if (!aRecord.mSpeed) {
    return;
  }
  aLoad.mSpeed = aRecord.mSpeed->mSpeed.Estimate(aNow);
  const double expected = aRecord.mSpeed->mExpectedSends.Expected(aNow);
  aLoad.mRunning += static_cast<std::uint32_t>(std::lround(expected));
  aLoad.mWaitUs += static_cast<std::uint32_t>(
    expected * static_cast<double>(aRecord.mSpeed->mLastPrefillTime.count()));
}

} // namespace peridotspool::gateway
