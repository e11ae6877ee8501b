// Upstreams' own speeds: what sends show of them, and how they decide.

#include "peridotspool/gateway/UpstreamSelector.h"

#include <algorithm>
#include <limits>

namespace peridotspool::gateway {

namespace {

using routing::WorkKind;
using routing::WorkObservation;

/** A shorter prefill is mostly the round trip and the first step. */
constexpr Duration kMinPrefillTime = std::chrono::milliseconds(10);
/** The mean of fewer gaps shows little of the generation's speed. */
constexpr std::uint64_t kMinEvents = 16;
/** Time that crossing failure domains adds, there and back. */
constexpr Duration kOtherDomainTime = std::chrono::milliseconds(2);
/** Cost of a failed send: a retry comes late, if it is permitted at all. */
constexpr Duration kFailedTime = std::chrono::seconds(3);
constexpr Duration kSilentTime = std::chrono::seconds(2);
/**
 * Cost of a full upstream in usual times of a call. Loads are as old as the
 * query, and calls pile up in a spell of slowness before any of them has ended
 * and shown it.
 */
constexpr double kFullnessCost = 2.0;

std::uint32_t
Microseconds(Duration aDuration)
{
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
    aDuration.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

std::uint32_t
PercentOf(const routing::SpeedEstimate& aEstimate, WorkKind aKind)
{
  switch (aKind) {
    case WorkKind::kPrefill:
      return aEstimate.mPrefillPercent;
    case WorkKind::kGeneration:
      return aEstimate.mGenerationPercent;
    case WorkKind::kPlain:
      return aEstimate.mPlainPercent;
  }
  return 100;
}

} // namespace

bool
UpstreamSelector::LearnsSpeed(const ServiceName& aService) const
{
  return mOptions.mLearnUpstreamSpeed && mUsualTimes.contains(aService);
}

// From here on the service's upstreams are taken to state how long work takes.
KnownSpeed&
UpstreamSelector::SpeedOf(const TrackedUpstream& aUpstream)
{
  mUsualTimes.try_emplace(aUpstream.mReport.mService);
  return mSpeeds[aUpstream.mReport.mName];
}

const KnownSpeed*
UpstreamSelector::FindSpeed(const TrackedUpstream& aUpstream) const
{
  const auto found = mSpeeds.find(aUpstream.mReport.mName);
  return found == mSpeeds.end() ? nullptr : &found->second;
}

void
UpstreamSelector::RecordStated(TrackedUpstream& aUpstream,
                               const InstanceLoad& aLoad,
                               TimePoint aNow)
{
  if (mOptions.mLearnUpstreamSpeed &&
      (aLoad.mSlownessPercent || LearnsSpeed(aUpstream.mReport.mService))) {
    SpeedOf(aUpstream).RecordStated(aLoad.mSlots, aLoad.mSlownessPercent, aNow);
  }
}

std::uint32_t
UpstreamSelector::SlotsOf(const TrackedUpstream& aUpstream,
                          TimePoint aNow) const
{
  const KnownSpeed* speed = FindSpeed(aUpstream);
  return speed == nullptr ? aUpstream.mReport.mSlots
                          : speed->Slots(aUpstream.mReport.mSlots, aNow);
}

Duration
UpstreamSelector::AtOwnSpeed(const TrackedUpstream& aUpstream,
                             WorkKind aKind,
                             Duration aUsual,
                             TimePoint aNow) const
{
  const KnownSpeed* speed = FindSpeed(aUpstream);
  return speed == nullptr
           ? aUsual
           : aUsual * PercentOf(speed->Estimate(aNow), aKind) / 100;
}

WorkObservation
UpstreamSelector::Observe(TrackedUpstream& aUpstream,
                          WorkKind aKind,
                          Duration aTook,
                          Duration aUsual,
                          TimePoint aNow)
{
  KnownSpeed& speed = SpeedOf(aUpstream);
  const WorkObservation observation{ .mKind = aKind,
                                     .mTookUs = Microseconds(aTook),
                                     .mUsualUs = Microseconds(aUsual),
                                     .mStated = speed.Stated(aNow) };
  speed.RecordObservation(observation, aNow);
  return observation;
}

std::optional<WorkObservation>
UpstreamSelector::ObservePrefill(const SentRequest& aSent, TimePoint aNow)
{
  TrackedUpstream* upstream = Find(aSent);
  if (upstream == nullptr || !LearnsSpeed(upstream->mReport.mService)) {
    return std::nullopt;
  }
  const PrefillRate rate = RateOf(upstream->mReport.mService);
  const Duration usual = rate.PrefillTime(aSent.mPrefillTokens);
  if (usual < kMinPrefillTime) {
    return std::nullopt;
  }
  // Behind other prompts, only the coordinator knows when its prefill began.
  const Duration took =
    aSent.mPrefillQueueWasEmpty
      ? std::max(Duration(1), aNow - aSent.mSentAt - rate.FirstEventOverhead())
      : Duration(0);
  return Observe(*upstream, WorkKind::kPrefill, took, usual, aNow);
}

// With no slot free, the call would mostly show how long it waited.
std::optional<WorkObservation>
UpstreamSelector::ObservePlain(const SentRequest& aSent, TimePoint aNow)
{
  TrackedUpstream* upstream = Find(aSent);
  if (upstream == nullptr || !aSent.mSlotWasFree ||
      !LearnsSpeed(upstream->mReport.mService)) {
    return std::nullopt;
  }
  const Duration took = aNow - aSent.mSentAt;
  UsualTimes& usual = mUsualTimes[upstream->mReport.mService];
  usual.AddPlain(took);
  return Observe(
    *upstream, WorkKind::kPlain, took, usual.Plain().value_or(took), aNow);
}

std::optional<WorkObservation>
UpstreamSelector::ObserveGeneration(const SentRequest& aSent,
                                    std::uint64_t aEvents,
                                    TimePoint aNow)
{
  TrackedUpstream* upstream = Find(aSent);
  if (upstream == nullptr || aEvents < kMinEvents ||
      aSent.mFirstEventAt == TimePoint() ||
      !LearnsSpeed(upstream->mReport.mService)) {
    return std::nullopt;
  }
  const Duration took = aNow - aSent.mFirstEventAt;
  const auto gaps = static_cast<std::int64_t>(aEvents - 1);
  UsualTimes& usual = mUsualTimes[upstream->mReport.mService];
  usual.AddEvent(took / gaps);
  return Observe(*upstream,
                 WorkKind::kGeneration,
                 took,
                 gaps * usual.Event().value_or(took / gaps),
                 aNow);
}

// The requests in flight beyond the free slots end one after the other, evenly
// spread over the time of a call.
Duration
UpstreamSelector::ExpectedCompletion(const TrackedUpstream& aUpstream,
                                     const Load& aLoad,
                                     TimePoint aNow) const
{
  const auto usual =
    mUsualTimes.at(aUpstream.mReport.mService).Plain().value_or(Duration(0));
  const double slots = std::max<std::uint32_t>(1, SlotsOf(aUpstream, aNow));
  const double ahead = std::max(0.0, aLoad.mFullness * slots + 1.0 - slots);
  const bool near = aUpstream.mReport.mDomain == mOptions.mDomain;
  return PermitWait(aUpstream, aNow) +
         std::chrono::duration_cast<Duration>(
           AtOwnSpeed(aUpstream, WorkKind::kPlain, usual, aNow) *
           (1.0 + ahead / slots)) +
         (near ? Duration(0) : kOtherDomainTime);
}

// A plain call is sent where its response is expected first. The first in the
// call's order is chosen among equals, so that entries spread their calls.
std::size_t
UpstreamSelector::PickSoonestPlain(
  const std::vector<const TrackedUpstream*>& aCandidates,
  const SelectionQuery& aQuery,
  TimePoint aNow) const
{
  const Load fallback = MeanKnownLoad(aCandidates, aQuery, aNow);
  const auto usual = mUsualTimes.at(aQuery.mService).Plain();
  if (!usual) {
    return PickLeastFull(aCandidates, aQuery, aNow);
  }
  std::size_t best = 0;
  Duration bestTime = Duration::max();
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const TrackedUpstream& upstream = *aCandidates[i];
    const Load load = LoadOf(upstream, fallback, aQuery, aNow);
    const Duration time = ExpectedCompletion(upstream, load, aNow) +
                          std::chrono::duration_cast<Duration>(
                            kFullnessCost * load.mFullness * *usual) +
                          std::chrono::duration_cast<Duration>(
                            FailureFraction(upstream) * kFailedTime) +
                          (upstream.mSilent ? kSilentTime : Duration(0));
    if (time < bestTime) {
      best = i;
      bestTime = time;
    }
  }
  return best;
}

void
UpstreamSelector::AddSpeed(UpstreamChoice& aChoice,
                           const TrackedUpstream& aUpstream,
                           const SelectionQuery& aQuery,
                           const Load& aLoad,
                           TimePoint aNow) const
{
  if (!LearnsSpeed(aQuery.mService)) {
    return;
  }
  if (const KnownSpeed* speed = FindSpeed(aUpstream)) {
    aChoice.mSpeed = speed->Estimate(aNow);
  }
  if (HasPrompt(aQuery)) {
    aChoice.mExpected = aChoice.mExpectedFirstEvent;
  } else if (mUsualTimes.at(aQuery.mService).Plain()) {
    aChoice.mExpected = ExpectedCompletion(aUpstream, aLoad, aNow);
  }
}

} // namespace peridotspool::gateway
