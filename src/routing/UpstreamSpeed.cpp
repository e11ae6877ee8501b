#include "peridotspool/routing/UpstreamSpeed.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace peridotspool::routing {

namespace {

/**
 * Less work than this is mostly the round trip and the rounding of a step.
 */
constexpr std::uint32_t kMinUsualUs = 1000;
/** An older statement is about another spell than the observation. */
constexpr std::uint32_t kMaxPairedAgeMs = 600;

std::uint32_t
Milliseconds(Duration aDuration)
{
  const auto count =
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
    count, 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

void
UpstreamSpeed::Add(const WorkObservation& aObservation, TimePoint aNow)
{
  if (aObservation.mStated) {
    AddStated(*aObservation.mStated, aNow);
  }
  const auto kind = static_cast<std::size_t>(aObservation.mKind);
  if (kind >= mKinds.size() || aObservation.mUsualUs < kMinUsualUs ||
      aObservation.mTookUs == 0) {
    return;
  }
  const bool isPaired = aObservation.mStated &&
                        aObservation.mStated->mPercent != 0 &&
                        aObservation.mStated->mAgeMs < kMaxPairedAgeMs;
  mKinds[kind].Add(
    static_cast<double>(aObservation.mTookUs) / aObservation.mUsualUs,
    isPaired ? std::optional(aObservation.mStated->mPercent / 100.0)
             : std::nullopt,
    aNow);
  mSamples += mSamples < std::numeric_limits<std::uint32_t>::max() ? 1 : 0;
}

// Reports of several entries arrive in any order; the newest statement counts.
void
UpstreamSpeed::AddStated(const StatedSlowness& aStated, TimePoint aNow)
{
  const TimePoint at = aNow - std::chrono::milliseconds(aStated.mAgeMs);
  if (aStated.mPercent != 0 && (!mStated || mStated->mStatedAt <= at)) {
    mStated = { .mPercent = aStated.mPercent, .mStatedAt = at };
  }
}

SpeedEstimate
UpstreamSpeed::Estimate(TimePoint aNow) const
{
  const Duration age = mStated ? aNow - mStated->mStatedAt : Duration(0);
  const auto percent = [&](WorkKind aKind) {
    const double ratio = mKinds[static_cast<std::size_t>(aKind)].Ratio(
      mStated ? std::optional(mStated->mPercent / 100.0) : std::nullopt,
      age,
      aNow);
    return static_cast<std::uint32_t>(std::lround(100.0 * ratio));
  };
  SpeedEstimate estimate{ .mPrefillPercent = percent(WorkKind::kPrefill),
                          .mGenerationPercent = percent(WorkKind::kGeneration),
                          .mPlainPercent = percent(WorkKind::kPlain),
                          .mSamples = mSamples };
  if (mStated) {
    estimate.mStated = { .mPercent = mStated->mPercent,
                         .mAgeMs = Milliseconds(age) };
  }
  return estimate;
}

} // namespace peridotspool::routing
