#include "peridotspool/gateway/KnownSpeed.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** An older estimate is about another spell of 600 ms. */
constexpr Duration kEstimateAge = std::chrono::milliseconds(600);
/** Stated slots count as long as a load report does. */
constexpr Duration kSlotsAge = std::chrono::milliseconds(1500);

std::uint32_t
Milliseconds(Duration aDuration)
{
  return static_cast<std::uint32_t>(std::max<std::int64_t>(
    0,
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count()));
}

} // namespace

void
KnownSpeed::ApplyEstimate(const routing::SpeedEstimate& aEstimate,
                          TimePoint aNow)
{
  mEstimate = aEstimate;
  mEstimatedAt = aNow;
}

void
KnownSpeed::RecordObservation(const routing::WorkObservation& aObservation,
                              TimePoint aNow)
{
  mOwn.Add(aObservation, aNow);
}

void
KnownSpeed::RecordStated(std::optional<std::uint32_t> aSlots,
                         std::optional<std::uint32_t> aSlownessPercent,
                         TimePoint aNow)
{
  if (aSlots) {
    mSlots = *aSlots;
    mSlotsStatedAt = aNow;
  }
  if (aSlownessPercent) {
    mSlownessPercent = *aSlownessPercent;
    mSlownessStatedAt = aNow;
    mOwn.AddStated({ .mPercent = *aSlownessPercent }, aNow);
  }
}

routing::SpeedEstimate
KnownSpeed::Estimate(TimePoint aNow) const
{
  if (!mEstimatedAt || aNow - *mEstimatedAt >= kEstimateAge) {
    return mOwn.Estimate(aNow);
  }
  routing::SpeedEstimate estimate = mEstimate;
  if (estimate.mStated) {
    estimate.mStated->mAgeMs += Milliseconds(aNow - *mEstimatedAt);
  }
  return estimate;
}

std::optional<routing::StatedSlowness>
KnownSpeed::Stated(TimePoint aNow) const
{
  if (!mSlownessStatedAt) {
    return std::nullopt;
  }
  return routing::StatedSlowness{ .mPercent = mSlownessPercent,
                                  .mAgeMs =
                                    Milliseconds(aNow - *mSlownessStatedAt) };
}

// A false figure must not make an upstream look idle at any load, nor take most
// of its capacity out of use.
std::uint32_t
KnownSpeed::Slots(std::uint32_t aAnnounced, TimePoint aNow) const
{
  if (!mSlotsStatedAt || aNow - *mSlotsStatedAt >= kSlotsAge ||
      aAnnounced == 0) {
    return aAnnounced;
  }
  return std::clamp(mSlots, (aAnnounced + 1) / 2, aAnnounced);
}

} // namespace peridotspool::gateway
