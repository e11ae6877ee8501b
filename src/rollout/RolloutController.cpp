#include "peridotspool/rollout/RolloutController.h"

#include "peridotspool/rollout/LogHistogram.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace peridotspool::rollout {

namespace {

/**
 * Shares of the exposure bound that are used while the new version is watched.
 * The rest is for faults that show only while its share increases.
 */
constexpr double kWatchExposureShare = 0.8;
constexpr double kWatchSlackShare = 0.6;
/** Unused requests in an entry's allowance at any time. */
constexpr std::uint64_t kUnusedPerEntry = 1;
/** Requests reserved in one change of the log, beyond those spent. */
constexpr std::uint64_t kReserveAhead = 16;
/**
 * Minimum number of answers by which the new version is evaluated, unless the
 * traffic is too low for that.
 */
constexpr std::uint64_t kMinAnswers = 20;
constexpr std::uint32_t kFullShare = 1000;
/** The drain waits for this quantile of the old version's answer times. */
constexpr double kDrainQuantile = 0.99;
constexpr std::array<std::uint32_t, 2> kShiftShares = { 250, 500 };
/**
 * An entry without a report for this long is ignored. Entries report three
 * times a second.
 */
constexpr Duration kEntryReportTimeout = std::chrono::milliseconds(2500);
constexpr Duration kMinDrainTime = std::chrono::milliseconds(700);

/** A version that turns bad is evaluated by its answers within this time. */
constexpr Duration kRecentSpan = std::chrono::seconds(2);
/** Merging the reports of hundreds of entries takes milliseconds. */
constexpr Duration kMergeInterval = std::chrono::milliseconds(200);
constexpr Duration kHistoryInterval = std::chrono::milliseconds(500);

std::uint64_t
CountNewAnswers(const AnswersByRoute& aAnswers)
{
  std::uint64_t count = 0;
  for (const auto& [route, answers] : aAnswers) {
    for (const auto& [upstream, tally] : answers.mNew) {
      count += tally.mAnswers;
    }
  }
  return count;
}

} // namespace

void
RolloutController::HandleReport(const RolloutReport& aReport,
                                std::uint64_t aTerm,
                                TimePoint aNow)
{
  const std::uint64_t sequence = aReport.mTerm == aTerm ? aReport.mSequence : 0;
  for (const RolloutProgress& progress : aReport.mProgress) {
    const auto run = mRuns.find(progress.mRollout);
    if (run != mRuns.end()) {
      run->second.mAccount.RecordProgress(aReport.mLife, progress, sequence);
      run->second.mProgress[aReport.mLife] = { progress, aNow };
    }
  }
}

bool
RolloutController::IsObserving(const Run& aRun, TimePoint aNow) const
{
  return aNow - aRun.mFirstSeenAt < mOptions.mObservationPeriod &&
         aRun.mFirstSeenAt - aRun.mOrderedAt > mOptions.mObservationPeriod;
}

std::uint64_t
RolloutController::ExposureBound(const Run& aRun) const
{
  std::uint64_t requests = 0;
  for (const auto& [incarnation, progress] : aRun.mProgress) {
    requests += progress.mLast.mRequests;
  }
  return static_cast<std::uint64_t>(
    std::floor(kWatchExposureShare * mOptions.mMaxExposureShare *
                 static_cast<double>(requests) +
               kWatchSlackShare * mOptions.mExposureSlack));
}

AnswersByRoute
RolloutController::Merged(const Run& aRun)
{
  AnswersByRoute answers;
  for (const auto& [incarnation, progress] : aRun.mProgress) {
    for (const AnswerTally& tally : progress.mLast.mTallies) {
      RouteAnswers& route = answers[tally.mRoute];
      AddTally(tally.mUpstream.IsSet() ? route.mNew[tally.mUpstream]
                                       : route.mOld,
               tally);
    }
  }
  return answers;
}

// If answers are short, the old version drains quickly, so the new one can be
// watched for longer.
void
RolloutController::Reschedule(Run& aRun, const Rollout& aRollout)
{
  BucketCounts took;
  for (const auto& [route, answers] : aRun.mAnswers) {
    for (const auto& [bucket, count] : answers.mOld.mTotalTime) {
      took[bucket] += count;
    }
  }
  if (TotalCount(took) < kMinAnswers) {
    return;
  }
  const auto longest = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(
      BucketUpperBound(QuantileBucket(took, kDrainQuantile))));
  aRun.mSchedule = ScheduleFor(aRollout.mOrder.mDuration, longest);
}

// Answers from before a version turned bad would mask the later ones, so the
// recent answers are evaluated separately.
std::optional<VersionEvidence>
RolloutController::FindEvidence(Run& aRun, TimePoint aNow) const
{
  const AnswersByRoute& answers = aRun.mAnswers;
  auto& history = aRun.mHistory;
  if (history.empty() || aNow - history.back().first >= kHistoryInterval) {
    history.emplace_back(aNow, answers);
  }
  while (history.size() > 1 && aNow - history[1].first >= kRecentSpan) {
    history.pop_front();
  }
  auto overall = CompareVersions(answers);
  if (overall && overall->IsBad()) {
    return overall;
  }
  const double spans =
    1.0 + static_cast<double>(aRun.mSchedule.mFinishBy / kRecentSpan);
  auto recent = CompareVersions(Since(answers, history.front().second), spans);
  const bool isStronger =
    recent && overall && recent->mLogEvidence > overall->mLogEvidence;
  return isStronger ? recent : overall;
}

// The previous leader approved the version for a share. Entries still apply
// that share or have returned to the old version. In either case the version
// need not be watched again.
void
RolloutController::Resume(Run& aRun, const Rollout& aRollout, TimePoint aNow)
{
  if (aRollout.mShare == 0 || aRun.mStage != RolloutStage::kWatching) {
    return;
  }
  aRun.mStage = aRollout.mShare == kFullShare ? RolloutStage::kDraining
                                              : RolloutStage::kShifting;
  aRun.mShare = aRollout.mShare;
  aRun.mStageAt = aNow;
}

// With little traffic only few answers are available; without traffic no caller
// can be affected.
bool
RolloutController::MayShift(const Run& aRun, const VersionPools& aPools) const
{
  const auto possible = static_cast<double>(ExposureBound(aRun)) -
                        kWatchSlackShare * mOptions.mExposureSlack;
  const auto needed = std::min<std::uint64_t>(
    kMinAnswers, static_cast<std::uint64_t>(std::max(0.0, possible)));
  return CountNewAnswers(aRun.mAnswers) >= needed &&
         aPools.mNew >= (aPools.mOld + 1) / 2;
}

bool
RolloutController::IsDrained(const Run& aRun, TimePoint aNow)
{
  return std::all_of(
    aRun.mProgress.begin(), aRun.mProgress.end(), [&](const auto& aPair) {
      const Progress& progress = aPair.second;
      const bool isReporting =
        aNow - progress.mReportedAt < kEntryReportTimeout;
      return !isReporting || (progress.mLast.mShare == kFullShare &&
                              progress.mLast.mOldRunning == 0);
    });
}

void
RolloutController::EnterStage(Run& aRun,
                              const Rollout& aRollout,
                              const VersionPools& aPools,
                              RolloutStage aStage,
                              std::uint32_t aShare,
                              TimePoint aNow,
                              RolloutStep& aStep)
{
  aRun.mStage = aStage;
  aRun.mStageAt = aNow;
  aRun.mShare = aShare;
  const auto evidence = CompareVersions(aRun.mAnswers);
  RolloutNotice notice{ .mRollout = aRollout.mId,
                        .mService = aRollout.mOrder.mService,
                        .mTo = aRollout.mOrder.mTo,
                        .mStage = aStage,
                        .mShare = aShare,
                        .mElapsed = aNow - aRun.mOrderedAt,
                        .mLeft =
                          aRollout.mOrder.mDuration - (aNow - aRun.mOrderedAt),
                        .mPools = aPools,
                        .mEvidence = evidence ? ToText(*evidence) : "none" };
  for (const auto& [incarnation, progress] : aRun.mProgress) {
    notice.mRequests += progress.mLast.mRequests;
    notice.mUsed += progress.mLast.mUsed;
    notice.mOldRunning += progress.mLast.mOldRunning;
  }
  aStep.mNotices.push_back(std::move(notice));
}

void
RolloutController::Advance(Run& aRun,
                           const Rollout& aRollout,
                           const VersionPools& aPools,
                           TimePoint aNow,
                           RolloutStep& aStep)
{
  const Duration elapsed = aNow - aRun.mOrderedAt;
  const auto enter = [&](RolloutStage aStage, std::uint32_t aShare) {
    EnterStage(aRun, aRollout, aPools, aStage, aShare, aNow, aStep);
  };
  if (aRun.mStage == RolloutStage::kStopped || IsObserving(aRun, aNow)) {
    return;
  }
  const auto evidence = FindEvidence(aRun, aNow);
  if (evidence && evidence->IsBad()) {
    aRun.mReason = ToText(*evidence);
    enter(RolloutStage::kStopped, 0);
    return;
  }
  Resume(aRun, aRollout, aNow);
  if (aRun.mStage == RolloutStage::kDraining) {
    return;
  }
  if (elapsed >= aRun.mSchedule.mFinishBy) {
    aRun.mReason = aPools.mNew == 0 ? "no upstream of the version is ready"
                                    : "too few answers to judge it in time";
    enter(RolloutStage::kStopped, 0);
    return;
  }
  if (evidence && evidence->IsDoubtful()) {
    return;
  }
  if (aRun.mStage == RolloutStage::kWatching) {
    Reschedule(aRun, aRollout);
    if (elapsed >= aRun.mSchedule.mShiftAt && MayShift(aRun, aPools)) {
      enter(RolloutStage::kShifting, kShiftShares.front());
    }
    return;
  }
  // A shift that was delayed by a change of leader skips its remaining steps.
  const bool isShort =
    elapsed + 2 * aRun.mSchedule.mStepDuration >= aRun.mSchedule.mFinishBy;
  if (!isShort && aNow - aRun.mStageAt < aRun.mSchedule.mStepDuration) {
    return;
  }
  const auto next =
    std::upper_bound(kShiftShares.begin(), kShiftShares.end(), aRun.mShare);
  if (!isShort && next != kShiftShares.end()) {
    enter(RolloutStage::kShifting, *next);
  } else {
    enter(RolloutStage::kDraining, kFullShare);
  }
}

void
RolloutController::Propose(Run& aRun,
                           const Rollout& aRollout,
                           std::int64_t aMicros,
                           TimePoint aNow,
                           RolloutStep& aStep) const
{
  if (aRun.mProposedAt &&
      aNow - *aRun.mProposedAt < mOptions.mProposalRetryInterval) {
    return;
  }
  const bool isDrained =
    aRun.mStage == RolloutStage::kDraining &&
    (aNow - aRun.mOrderedAt >= aRun.mSchedule.mFinishBy ||
     (aNow - aRun.mStageAt >= kMinDrainTime && IsDrained(aRun, aNow)));
  if (isDrained || aRun.mStage == RolloutStage::kStopped) {
    aStep.mChanges.emplace_back(
      RolloutEnd{ .mId = aRollout.mId,
                  .mState = isDrained ? RolloutState::kCompleted
                                      : RolloutState::kRolledBack,
                  .mEndedMicros = aMicros,
                  .mReason = isDrained ? "found sound" : aRun.mReason });
    aRun.mProposedAt = aNow;
    return;
  }
  if (aRun.mShare > aRollout.mShare) {
    aStep.mChanges.emplace_back(
      RolloutAdvance{ .mId = aRollout.mId, .mShare = aRun.mShare });
  }
  const std::uint64_t spent = aRun.mAccount.Spent();
  const std::uint64_t wanted =
    std::min(ExposureBound(aRun), spent + kReserveAhead);
  const bool isShort = aRollout.mReserved < spent + kReserveAhead / 2;
  if (aRun.mStage == RolloutStage::kWatching && isShort &&
      wanted > aRollout.mReserved && !IsObserving(aRun, aNow)) {
    aStep.mChanges.emplace_back(
      RolloutAdvance{ .mId = aRollout.mId, .mReserved = wanted });
  }
}

RolloutStep
RolloutController::Step(const RolloutTable& aTable,
                        const std::map<ServiceName, VersionPools>& aPools,
                        std::int64_t aMicros,
                        TimePoint aNow)
{
  RolloutStep step;
  std::erase_if(mRuns, [&](const auto& aPair) {
    const Rollout* rollout = aTable.Find(aPair.first);
    return rollout == nullptr || !rollout->IsRunning();
  });
  for (const Rollout& rollout : aTable.mRollouts) {
    if (!rollout.IsRunning()) {
      continue;
    }
    const auto ago = std::chrono::microseconds(
      std::max<std::int64_t>(0, aMicros - rollout.mOrder.mOrderedMicros));
    const auto [place, added] =
      mRuns.try_emplace(rollout.mId,
                        rollout,
                        aNow - std::chrono::duration_cast<Duration>(ago),
                        aNow);
    Run& run = place->second;
    const auto found = aPools.find(rollout.mOrder.mService);
    const VersionPools pools =
      found == aPools.end() ? VersionPools() : found->second;
    if (added || aNow - run.mMergedAt >= kMergeInterval) {
      run.mMergedAt = aNow;
      run.mAnswers = Merged(run);
    }
    if (added) {
      EnterStage(run, rollout, pools, RolloutStage::kWatching, 0, aNow, step);
    }
    Advance(run, rollout, pools, aNow, step);
    Propose(run, rollout, aMicros, aNow, step);
  }
  return step;
}

RolloutUpdate
RolloutController::UpdateFor(std::uint64_t aIncarnation,
                             const RolloutTable& aTable,
                             std::uint64_t aTerm)
{
  RolloutUpdate update{ .mTerm = aTerm,
                        .mSequence = ++mSequence,
                        .mNumber = aTable.mNumber,
                        .mLease = mOptions.mLease,
                        .mServices = {} };
  for (const ServiceName& service : aTable.Services()) {
    ServiceVersions versions{ .mService = service,
                              .mCurrent = aTable.Current(service),
                              .mRolledBack = aTable.RolledBack(service),
                              .mRunning = {} };
    const Rollout& latest = *aTable.Latest(service);
    if (latest.IsRunning()) {
      versions.mRunning =
        RolloutShare{ .mRollout = latest.mId, .mTo = latest.mOrder.mTo };
      const auto run = mRuns.find(latest.mId);
      if (run != mRuns.end()) {
        const bool watches = run->second.mStage == RolloutStage::kWatching;
        versions.mRunning->mShare = run->second.mShare;
        if (watches) {
          versions.mRunning->mAllowed = run->second.mAccount.Allow(
            aIncarnation, kUnusedPerEntry, latest.mReserved, update.mSequence);
        }
      }
    }
    update.mServices.push_back(std::move(versions));
  }
  return update;
}

} // namespace peridotspool::rollout
