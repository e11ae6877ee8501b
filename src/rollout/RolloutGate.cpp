#include "peridotspool/rollout/RolloutGate.h"

#include "peridotspool/rollout/LogHistogram.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace peridotspool::rollout {

namespace {

constexpr std::uint32_t kFullShare = 1000;
/**
 * Share of the new version's upstreams that get requests while it is watched.
 * The share is small so that faults which need load show although the version
 * gets few requests.
 */
constexpr double kCanaryUpstreamShare = 0.15;
constexpr std::size_t kMinCanaryUpstreams = 2;
/**
 * Probability of using an allowance for a request. It increases by the same
 * amount with each kUnusedInterval for which the allowance stays unused.
 */
constexpr double kCanaryProbability = 0.15;
constexpr Duration kUnusedInterval = std::chrono::milliseconds(250);
constexpr double kHundredths = 100.0;
/**
 * Bounds the routes with statistics in a report; an operator may have hundreds
 * of routes.
 */
constexpr std::size_t kMaxTallies = 256;

double
Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

std::size_t
CanaryUpstreams(std::size_t aReady)
{
  return std::max(kMinCanaryUpstreams,
                  static_cast<std::size_t>(std::ceil(
                    kCanaryUpstreamShare * static_cast<double>(aReady))));
}

std::size_t
ReadyOf(const ReadyByVersion& aReady, const VersionName& aVersion)
{
  const auto found = aReady.find(aVersion);
  return found == aReady.end() ? 0 : found->second;
}

} // namespace

void
RolloutGate::ApplyUpdate(const RolloutUpdate& aUpdate, TimePoint aNow)
{
  const auto order = std::pair(aUpdate.mTerm, aUpdate.mSequence);
  if (order <= std::pair(mTerm, mSequence)) {
    return;
  }
  mTerm = aUpdate.mTerm;
  mSequence = aUpdate.mSequence;
  mNumber = std::max(mNumber, aUpdate.mNumber);
  mLeaseUntil = aNow + aUpdate.mLease;
  mServices.clear();
  for (const ServiceVersions& versions : aUpdate.mServices) {
    mServices[versions.mService] = versions;
    if (!versions.mRunning) {
      mRuns.erase(versions.mService);
      continue;
    }
    Run& run = mRuns[versions.mService];
    if (run.mShare.mRollout != versions.mRunning->mRollout) {
      run = Run{};
    }
    if (run.mUsed >= run.mShare.mAllowed) {
      run.mUnusedSince = aNow;
    }
    run.mShare = *versions.mRunning;
  }
}

const ServiceVersions*
RolloutGate::Find(const ServiceName& aService) const
{
  const auto found = mServices.find(aService);
  return found == mServices.end() ? nullptr : &found->second;
}

RolloutGate::Run*
RolloutGate::RunOf(const ServiceName& aService)
{
  const auto found = mRuns.find(aService);
  return found == mRuns.end() ? nullptr : &found->second;
}

const RolloutGate::Run*
RolloutGate::RunOf(const ServiceName& aService) const
{
  const auto found = mRuns.find(aService);
  return found == mRuns.end() ? nullptr : &found->second;
}

// Upstreams of a new version may register before this entry learns of the
// rollout order.
VersionChoice
RolloutGate::ChooseWithoutRollout(const ServiceName& aService,
                                  const ReadyByVersion& aReady)
{
  VersionChoice choice;
  if (!HasUpdate() && aReady.size() > 1) {
    for (const auto& [version, ready] : aReady) {
      choice.mFilter.mExcept.push_back(version);
    }
    choice.mReason = "rollouts are not known yet";
    return choice;
  }
  std::set<VersionName>& first = mInitialVersions[aService];
  const auto isReady = [&](const VersionName& aVersion) {
    return ReadyOf(aReady, aVersion) != 0;
  };
  if (std::none_of(first.begin(), first.end(), isReady)) {
    first.clear();
    for (const auto& [version, ready] : aReady) {
      first.insert(version);
    }
  }
  for (const auto& [version, ready] : aReady) {
    if (!first.contains(version)) {
      choice.mFilter.mExcept.push_back(version);
      choice.mReason = "a version that was not ordered is left out";
    }
  }
  return choice;
}

VersionFilter
RolloutGate::OldVersionsOnly(const ServiceVersions& aVersions)
{
  VersionFilter filter;
  if (aVersions.mCurrent.IsSet()) {
    filter.mOnly = aVersions.mCurrent;
  }
  filter.mExcept = aVersions.mRolledBack;
  if (aVersions.mRunning) {
    filter.mExcept.push_back(aVersions.mRunning->mTo);
  }
  return filter;
}

// Each route sends the same number of requests to the new version, whatever its
// traffic, because a fault may be limited to a rarely used route.
bool
RolloutGate::IsSampled(const Run& aRun,
                       const std::string& aRoute,
                       std::uint64_t aSeed,
                       TimePoint aNow)
{
  const auto requests = static_cast<double>(aRun.mChoices);
  const auto here = static_cast<double>(aRun.mChoicesByRoute.at(aRoute));
  const auto routes = static_cast<double>(aRun.mChoicesByRoute.size());
  const auto intervals =
    1.0 + static_cast<double>((aNow - aRun.mUnusedSince) / kUnusedInterval);
  const double part =
    intervals * kCanaryProbability * requests / (routes * here);
  return static_cast<double>(aSeed / kFullShare % kFullShare) <
         part * kFullShare;
}

bool
RolloutGate::SelectsNewVersion(Run& aRun,
                               const std::string& aRoute,
                               std::uint64_t aSeed,
                               TimePoint aNow,
                               const char*& aReason)
{
  if (!HoldsLease(aNow)) {
    return false;
  }
  if (aSeed % kFullShare < aRun.mShare.mShare) {
    aReason = "the new version's share";
    return true;
  }
  if (aRun.mUsed < aRun.mShare.mAllowed &&
      IsSampled(aRun, aRoute, aSeed, aNow)) {
    ++aRun.mUsed;
    aRun.mUnusedSince = aNow;
    aReason = "the new version is tried";
    return true;
  }
  return false;
}

VersionChoice
RolloutGate::ChooseFirst(const ServiceName& aService,
                         const std::string& aRoute,
                         std::uint64_t aSeed,
                         const ReadyByVersion& aReady,
                         TimePoint aNow)
{
  const ServiceVersions* versions = Find(aService);
  Run* run = RunOf(aService);
  if (versions == nullptr || run == nullptr) {
    return ChooseRetry(aService, aReady, aNow);
  }
  if (run->mChoicesByRoute.size() < kMaxTallies ||
      run->mChoicesByRoute.contains(aRoute)) {
    ++run->mChoicesByRoute[aRoute];
    ++run->mChoices;
  } else {
    return ChooseRetry(aService, aReady, aNow);
  }
  const VersionName& to = run->mShare.mTo;
  const std::size_t ready = ReadyOf(aReady, to);
  const char* reason = nullptr;
  if (ready == 0 || !SelectsNewVersion(*run, aRoute, aSeed, aNow, reason)) {
    return ChooseRetry(aService, aReady, aNow);
  }
  const std::size_t maxUpstreams =
    run->mShare.mShare == 0 ? CanaryUpstreams(ready) : 0;
  return {
    .mFilter = { .mOnly = to, .mExcept = {}, .mMaxUpstreams = maxUpstreams },
    .mReason = reason
  };
}

// At the end of the shift the old version's upstreams may stop at any moment.
// An entry whose lease has expired then cannot know whether they have, so it
// uses either version.
VersionChoice
RolloutGate::ChooseRetry(const ServiceName& aService,
                         const ReadyByVersion& aReady,
                         TimePoint aNow)
{
  const ServiceVersions* versions = Find(aService);
  if (versions == nullptr) {
    return ChooseWithoutRollout(aService, aReady);
  }
  const VersionFilter old = OldVersionsOnly(*versions);
  if (!versions->mRunning || versions->mRunning->mShare != kFullShare) {
    return { .mFilter = old, .mReason = "the version in force" };
  }
  if (HoldsLease(aNow) && ReadyOf(aReady, versions->mRunning->mTo) != 0) {
    return { .mFilter = { .mOnly = versions->mRunning->mTo, .mExcept = {} },
             .mReason = "the new version's share" };
  }
  return { .mFilter = { .mOnly = {}, .mExcept = versions->mRolledBack },
           .mReason = "either version: the lease has run out" };
}

// A version that no rollout names, or that a completed one has replaced, may
// still finish the streams that began there.
VersionChoice
RolloutGate::ChooseResumed(const ServiceName& aService,
                           const VersionName& aVersion,
                           const ReadyByVersion& aReady,
                           TimePoint aNow)
{
  VersionChoice nowhere{ .mFilter = { .mOnly = aVersion,
                                      .mExcept = { aVersion } },
                         .mReason = "the stream's version gets no requests" };
  VersionChoice choice{ .mFilter = { .mOnly = aVersion, .mExcept = {} },
                        .mReason = "the stream's version" };
  const ServiceVersions* versions = Find(aService);
  if (versions == nullptr) {
    return HasUpdate() || aReady.size() <= 1 ? choice : nowhere;
  }
  const auto& rolledBack = versions->mRolledBack;
  if (std::find(rolledBack.begin(), rolledBack.end(), aVersion) !=
      rolledBack.end()) {
    return nowhere;
  }
  Run* const run = RunOf(aService);
  if (run == nullptr || run->mShare.mTo != aVersion ||
      run->mShare.mShare == kFullShare) {
    return choice;
  }
  if (!HoldsLease(aNow)) {
    return nowhere;
  }
  if (run->mShare.mShare == 0) {
    if (run->mUsed >= run->mShare.mAllowed) {
      return nowhere;
    }
    ++run->mUsed;
    run->mUnusedSince = aNow;
    choice.mFilter.mMaxUpstreams = CanaryUpstreams(ReadyOf(aReady, aVersion));
  }
  return choice;
}

void
RolloutGate::RecordSent(const ServiceName& aService)
{
  if (Run* run = RunOf(aService)) {
    ++run->mRequests;
  }
}

void
RolloutGate::RecordAnswer(const VersionAnswer& aAnswer)
{
  Run* run = RunOf(aAnswer.mService);
  if (run == nullptr) {
    return;
  }
  const bool isNew = aAnswer.mVersion == run->mShare.mTo;
  const auto key =
    std::pair(aAnswer.mRoute, isNew ? aAnswer.mUpstream : UpstreamName());
  if (run->mTallies.size() >= kMaxTallies && !run->mTallies.contains(key)) {
    return;
  }
  AnswerTally& tally = run->mTallies[key];
  tally.mRoute = key.first;
  tally.mUpstream = key.second;
  ++tally.mAnswers;
  tally.mFailed += aAnswer.mFailed ? 1 : 0;
  if (!isNew) {
    ++tally.mTotalTime[HistogramBucket(Milliseconds(aAnswer.mTotalTime))];
  }
  if (aAnswer.mPace) {
    ++tally.mPace[HistogramBucket(Milliseconds(*aAnswer.mPace))];
  }
  if (aAnswer.mFirstEvent) {
    ++tally.mFirstEvent[HistogramBucket(kHundredths * *aAnswer.mFirstEvent)];
  }
}

bool
RolloutGate::IsRollingOut(const ServiceName& aService,
                          const VersionName& aVersion) const
{
  const Run* run = RunOf(aService);
  return run != nullptr && run->mShare.mTo == aVersion;
}

bool
RolloutGate::HasRunning() const
{
  return !mRuns.empty();
}

RolloutReport
RolloutGate::Report(
  std::uint64_t aIncarnation,
  const std::function<std::uint64_t(const ServiceName&, const VersionName&)>&
    aOldRunning,
  TimePoint aNow) const
{
  RolloutReport report{ .mLife = aIncarnation,
                        .mTerm = mTerm,
                        .mSequence = mSequence,
                        .mProgress = {} };
  for (const auto& [service, run] : mRuns) {
    const bool holds = HoldsLease(aNow);
    RolloutProgress progress{
      .mRollout = run.mShare.mRollout,
      .mRequests = run.mRequests,
      .mUsed = run.mUsed,
      .mAllowed = holds ? std::max(run.mUsed, run.mShare.mAllowed) : run.mUsed,
      .mShare = holds ? run.mShare.mShare : 0,
      .mOldRunning = aOldRunning(service, run.mShare.mTo),
      .mTallies = {}
    };
    for (const auto& [key, tally] : run.mTallies) {
      progress.mTallies.push_back(tally);
    }
    report.mProgress.push_back(std::move(progress));
  }
  return report;
}

} // namespace peridotspool::rollout
