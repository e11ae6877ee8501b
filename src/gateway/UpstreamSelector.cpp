#include "peridotspool/gateway/UpstreamSelector.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/**
 * Extra fullness of an upstream that no registry receives reports from: it may
 * only be cut off from the control replicas, so it is chosen last rather than
 * excluded.
 */
constexpr double kSilentCost = 0.5;
constexpr std::uint32_t kMaxDoublings = 6;
/**
 * The first event of a prompt below this number of tokens shows nothing about
 * the prefill queue, as engines admit small prompts first.
 */
constexpr std::uint64_t kMinQueueEvidenceTokens = 3000;
/**
 * Load at which a brittle upstream gets no more requests, as a part of its
 * slots. Entries that choose at the same time don't know of each other's sends.
 */
constexpr double kBrittleFullness = 0.9;
/** Divisor of the moving average: each new request contributes a tenth. */
constexpr int kBatchTimeSamples = 10;

} // namespace

UpstreamSelector::UpstreamSelector(UpstreamSelectorOptions aOptions)
  : mOptions(std::move(aOptions))
  , mWithdrawn(mOptions.mSeed)
{
}

bool
UpstreamSelector::Update(const UpstreamName& aName,
                         const membership::KnownUpstream* aKnown,
                         TimePoint /*aNow*/)
{
  if (aKnown == nullptr) {
    mTrackedUpstreams.erase(aName);
    mSpeeds.erase(aName);
    return false;
  }
  const auto [position, added] = mTrackedUpstreams.try_emplace(aName);
  TrackedUpstream& upstream = position->second;
  const bool restarted =
    !added && aKnown->mReport.mIncarnation > upstream.mReport.mIncarnation;
  if (restarted) {
    // The state belonged to a process that is gone.
    upstream = TrackedUpstream{};
    mSpeeds.erase(aName);
    mWithdrawn.OnRestarted(aName, aKnown->mReport.mIncarnation, aKnown->mSince);
  }
  upstream.mReport = aKnown->mReport;
  upstream.mSilent = aKnown->mSilent;
  return restarted;
}

// Returns null if the send went to an earlier incarnation, whose results say
// nothing about the current one.
UpstreamSelector::TrackedUpstream*
UpstreamSelector::Find(const SentRequest& aSent)
{
  const auto found = mTrackedUpstreams.find(aSent.mName);
  return found != mTrackedUpstreams.end() &&
             found->second.mReport.mIncarnation == aSent.mIncarnation
           ? &found->second
           : nullptr;
}

void
UpstreamSelector::ApplyLoadReport(const SentRequest& aSent,
                                  const InstanceLoad& aLoad,
                                  TimePoint aNow)
{
  if (TrackedUpstream* upstream = Find(aSent)) {
    upstream->mReported = aLoad.mRunning + aLoad.mWaiting;
    upstream->mInFlightAtReport = upstream->mInFlight;
    upstream->mReportedAt = aNow;
    RecordStated(*upstream, aLoad, aNow);
  }
}

void
UpstreamSelector::ApplyCoordinatorLoad(const UpstreamLoad& aLoad,
                                       TimePoint aNow)
{
  const auto found = mTrackedUpstreams.find(aLoad.mUpstream);
  if (found == mTrackedUpstreams.end()) {
    return;
  }
  TrackedUpstream& upstream = found->second;
  upstream.mPrefillQueue.SetWait(std::chrono::microseconds(aLoad.mWaitUs),
                                 aNow);
  upstream.mFailurePercent = aLoad.mFailurePercent;
  upstream.mReported = aLoad.mRunning;
  upstream.mInFlightAtReport = upstream.mInFlight;
  upstream.mReportedAt = aNow;
  if (aLoad.mSpeed && mOptions.mLearnUpstreamSpeed) {
    SpeedOf(upstream).ApplyEstimate(*aLoad.mSpeed, aNow);
  }
}

void
UpstreamSelector::SetPermitTime(const UpstreamName& aName,
                                std::optional<TimePoint> aPermitAt)
{
  const auto found = mTrackedUpstreams.find(aName);
  if (found != mTrackedUpstreams.end()) {
    found->second.mPermitAt = aPermitAt;
  }
}

void
UpstreamSelector::SetBrittle(const UpstreamName& aName,
                             TimePoint aUntil,
                             TimePoint aClosedUntil)
{
  const auto found = mTrackedUpstreams.find(aName);
  if (found != mTrackedUpstreams.end()) {
    TrackedUpstream& upstream = found->second;
    upstream.mBrittleUntil = std::max(upstream.mBrittleUntil, aUntil);
    upstream.mClosedUntil = std::max(upstream.mClosedUntil, aClosedUntil);
  }
}

bool
UpstreamSelector::IsBrittleAndFull(const TrackedUpstream& aUpstream,
                                   TimePoint aNow) const
{
  return aNow < aUpstream.mBrittleUntil &&
         (aNow < aUpstream.mClosedUntil ||
          FullnessOf(aUpstream, aNow) >= kBrittleFullness);
}

Duration
UpstreamSelector::PermitWait(const TrackedUpstream& aUpstream, TimePoint aNow)
{
  return aUpstream.mPermitAt
           ? std::max(Duration(0), *aUpstream.mPermitAt - aNow)
           : Duration(0);
}

PrefillRate
UpstreamSelector::RateOf(const ServiceName& aService) const
{
  const auto rate = mRates.find(aService);
  return rate == mRates.end() ? PrefillRate() : rate->second;
}

Duration
UpstreamSelector::PrefillTime(const ServiceName& aService,
                              std::uint64_t aTokens) const
{
  return RateOf(aService).PrefillTime(aTokens);
}

bool
UpstreamSelector::AcceptsWork(const TrackedUpstream& aUpstream) const
{
  const membership::UpstreamReport& report = aUpstream.mReport;
  return !aUpstream.mGone &&
         report.mStage == membership::UpstreamStage::kReady &&
         !mWithdrawn.IsLeaving(report.mName, report.mIncarnation);
}

// A report is outdated when it arrives and does not cover later sends. This
// entry knows its own sends since then exactly, but not those of other entries,
// so a report older than mReportAge is ignored.
double
UpstreamSelector::FullnessOf(const TrackedUpstream& aUpstream,
                             TimePoint aNow) const
{
  double load = aUpstream.mInFlight;
  if (aUpstream.mReportedAt &&
      aNow - *aUpstream.mReportedAt < mOptions.mReportAge) {
    const double since = static_cast<double>(aUpstream.mInFlight) -
                         static_cast<double>(aUpstream.mInFlightAtReport);
    load = std::max(load, aUpstream.mReported + since);
  }
  const double slots = std::max<std::uint32_t>(1, SlotsOf(aUpstream, aNow));
  return load / slots + (aUpstream.mSilent ? kSilentCost : 0.0);
}

SentRequest
UpstreamSelector::RecordSent(const UpstreamChoice& aChoice, TimePoint aNow)
{
  SentRequest sent{ .mName = aChoice.mName,
                    .mIncarnation = aChoice.mIncarnation,
                    .mPrefillTokens = aChoice.mPrefillTokens,
                    .mSentAt = aNow };
  mWithdrawn.RecordSent(sent.mName, sent.mIncarnation, aNow);
  if (TrackedUpstream* upstream = Find(sent)) {
    sent.mSlotWasFree = FullnessOf(*upstream, aNow) < 1.0;
    ++upstream->mInFlight;
    sent.mPrefillQueueWasEmpty =
      upstream->mPrefillQueue.Wait(aNow) == Duration(0);
    sent.mPrefillTime = AtOwnSpeed(
      *upstream,
      routing::WorkKind::kPrefill,
      PrefillTime(upstream->mReport.mService, aChoice.mPrefillTokens),
      aNow);
    sent.mPrefillDueAt = upstream->mPrefillQueue.Add(sent.mPrefillTime, aNow);
  }
  return sent;
}

bool
UpstreamSelector::RecordFirstEvent(SentRequest& aSent, TimePoint aNow)
{
  TrackedUpstream* upstream = Find(aSent);
  if (upstream == nullptr || !aSent.IsPrefilling()) {
    return false;
  }
  aSent.mFirstEventAt = aNow;
  if (aSent.mPrefillQueueWasEmpty) {
    mRates[upstream->mReport.mService].AddSample(aSent.mPrefillTokens,
                                                 aNow - aSent.mSentAt);
  }
  const bool isLarge = aSent.mPrefillTokens >= kMinQueueEvidenceTokens;
  if (isLarge) {
    upstream->mPrefillQueue.RecordPrefillDone(aSent.mPrefillDueAt, aNow);
  }
  aSent.mPrefillDueAt = TimePoint();
  return isLarge;
}

bool
UpstreamSelector::RecordEnd(const SentRequest& aSent,
                            SendResult aResult,
                            TimePoint aNow)
{
  mWithdrawn.RecordEnded(aSent.mName, aSent.mIncarnation, aSent.mSentAt);
  TrackedUpstream* const found = Find(aSent);
  if (found == nullptr) {
    return false;
  }
  TrackedUpstream& upstream = *found;
  if (aSent.IsPrefilling()) {
    upstream.mPrefillQueue.RemovePending(aSent.mPrefillTime);
  }
  upstream.mInFlight -= upstream.mInFlight > 0 ? 1 : 0;
  switch (aResult) {
    case SendResult::kAnswered:
      RecordBatchTime(upstream, aSent, aNow);
      upstream.mFailures = 0;
      upstream.mEjections = 0;
      return false;
    case SendResult::kFull:
      // It is full for all entries: treat it as such until its next report.
      upstream.mReported =
        std::max(upstream.mReported, upstream.mReport.mSlots);
      upstream.mInFlightAtReport = upstream.mInFlight;
      upstream.mReportedAt = aNow;
      return false;
    case SendResult::kWrongUpstream:
      upstream.mGone = true;
      return true;
    case SendResult::kFailed:
      ++upstream.mFailures;
      return upstream.mFailures >= mOptions.mFailuresToEject &&
             Eject(upstream, aNow);
    case SendResult::kBroken:
    case SendResult::kTimedOut:
      return Eject(upstream, aNow);
    case SendResult::kPathLost:
    case SendResult::kNotSent:
      return false;
  }
  return false;
}

// Measures from the start of the prefill, so that the wait for a slot is
// excluded.
void
UpstreamSelector::RecordBatchTime(const TrackedUpstream& aUpstream,
                                  const SentRequest& aSent,
                                  TimePoint aNow)
{
  if (aSent.mFirstEventAt == TimePoint()) {
    return;
  }
  const Duration batchTime = aSent.mPrefillTime + (aNow - aSent.mFirstEventAt);
  const auto [mean, added] =
    mMeanBatchTimes.try_emplace(aUpstream.mReport.mService, batchTime);
  if (!added) {
    mean->second += (batchTime - mean->second) / kBatchTimeSamples;
  }
}

// With more requests than slots, a prompt waits for as many requests to end as
// exceed the slots, itself included. An upstream that reports no slots is taken
// to have one for each request.
Duration
UpstreamSelector::WaitForSlot(const TrackedUpstream& aUpstream,
                              double aFullness,
                              TimePoint aNow) const
{
  const auto batchTime = mMeanBatchTimes.find(aUpstream.mReport.mService);
  const std::uint32_t slots = SlotsOf(aUpstream, aNow);
  if (batchTime == mMeanBatchTimes.end() || slots == 0 || aFullness < 1.0) {
    return Duration(0);
  }
  const double own = 1.0 / slots;
  return std::chrono::duration_cast<Duration>(
    (aFullness - 1.0 + own) *
    AtOwnSpeed(
      aUpstream, routing::WorkKind::kGeneration, batchTime->second, aNow));
}

bool
UpstreamSelector::Eject(TrackedUpstream& aUpstream, TimePoint aNow)
{
  const bool already = aUpstream.mEjectedUntil > aNow;
  const std::uint32_t doublings = std::min(aUpstream.mEjections, kMaxDoublings);
  aUpstream.mEjectedUntil =
    aNow + std::min(mOptions.mMaxEjectTime,
                    mOptions.mMinEjectTime * (std::int64_t{ 1 } << doublings));
  if (!already) {
    ++aUpstream.mEjections;
  }
  aUpstream.mFailures = 0;
  return !already;
}

void
UpstreamSelector::ClearEjections()
{
  for (auto& [name, upstream] : mTrackedUpstreams) {
    upstream.mFailures = 0;
    upstream.mEjections = 0;
    upstream.mEjectedUntil = TimePoint();
  }
}

} // namespace peridotspool::gateway
