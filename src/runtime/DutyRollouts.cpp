// The leader's part in rollouts.

#include "peridotspool/base/Overloaded.h"
#include "peridotspool/runtime/SystemClock.h"
#include "runtime/DutyRunner.h"

#include <boost/describe/enum_to_string.hpp>

#include <algorithm>
#include <utility>

namespace peridotspool::runtime {

namespace {

/**
 * Upstreams of a version that is being tried, or was rolled back, are no part
 * of the pool that the load is planned for.
 */
bool
CountsForPool(const rollout::RolloutTable& aRollouts,
              const membership::UpstreamReport& aReport)
{
  const rollout::Rollout* latest = aRollouts.Latest(aReport.mService);
  if (latest == nullptr) {
    return true;
  }
  const VersionName current = aRollouts.Current(aReport.mService);
  if (current.IsSet()) {
    return aReport.mVersion == current;
  }
  const auto rolledBack = aRollouts.RolledBack(aReport.mService);
  const bool isTried =
    latest->IsRunning() && latest->mOrder.mTo == aReport.mVersion;
  return !isTried &&
         std::find(rolledBack.begin(), rolledBack.end(), aReport.mVersion) ==
           rolledBack.end();
}

} // namespace

bool
DutyRunner::KnowsService(const ServiceName& aService,
                         const control::ControlNode& aNode,
                         TimePoint aNow)
{
  UseSettings(aNode, aNow);
  return mTable && mTable->Service(aService) != nullptr;
}

std::int64_t
DutyRunner::WallMicros(TimePoint aNow) const
{
  return mTasks.CommonMicros(aNow).value_or(ReadWallMicros());
}

void
DutyRunner::TakeReport(const Address& aFrom,
                       const rollout::RolloutReport& aReport,
                       const control::ControlNode& aNode,
                       TimePoint aNow)
{
  mRollouts.HandleReport(aReport, aNode.CurrentTerm().Value(), aNow);
  Heard& heard = mHeard[aFrom];
  heard.mLife = aReport.mLife;
  TellRollouts(aFrom, heard, aNode);
}

void
DutyRunner::TellRollouts(const Address& aTo,
                         const Heard& aHeard,
                         const control::ControlNode& aNode)
{
  mTell(aTo,
        mRollouts.UpdateFor(
          aHeard.mLife, aNode.State().mRollouts, aNode.CurrentTerm().Value()));
}

// Entries are told of each stage as it begins: an upstream that a rollout gives
// up, or stops, must not wait for their next reports.
void
DutyRunner::KeepRollouts(const control::ControlNode& aNode, TimePoint aNow)
{
  const rollout::RolloutTable& table = aNode.State().mRollouts;
  std::map<ServiceName, rollout::VersionPools> pools;
  for (const auto& [name, known] : mDirectory.All()) {
    const auto& report = known.mReport;
    const rollout::Rollout* latest = table.Latest(report.mService);
    if (latest == nullptr || known.mSilent ||
        report.mStage != membership::UpstreamStage::kReady) {
      continue;
    }
    const bool isNew = report.mVersion == latest->mOrder.mTo;
    ++(isNew ? pools[report.mService].mNew : pools[report.mService].mOld);
  }
  const rollout::RolloutStep step =
    mRollouts.Step(table, pools, WallMicros(aNow), aNow);
  for (const rollout::RolloutNotice& notice : step.mNotices) {
    LogNotice(notice);
  }
  for (const rollout::RolloutChange& change : step.mChanges) {
    if (const auto* end = std::get_if<rollout::RolloutEnd>(&change)) {
      mLogger.Log(
        observe::EventId::kRolloutEnding,
        { { "rollout", end->mId },
          { "state", boost::describe::enum_to_string(end->mState, "") },
          { "reason", end->mReason } });
    }
    mPropose(control::RolloutChangeRequest{ change });
  }
  if (!step.mNotices.empty() || mRolloutsTold != table.mNumber) {
    mRolloutsTold = table.mNumber;
    for (const auto& [address, heard] : mHeard) {
      if (heard.mLife != 0) {
        TellRollouts(address, heard, aNode);
      }
    }
  }
}

void
DutyRunner::LogNotice(const rollout::RolloutNotice& aNotice)
{
  mLogger.Log(
    observe::EventId::kRolloutStaged,
    { { "rollout", aNotice.mRollout },
      { "service", aNotice.mService },
      { "to", aNotice.mTo },
      { "stage", boost::describe::enum_to_string(aNotice.mStage, "") },
      { "share", aNotice.mShare },
      { "elapsed_ms", aNotice.mElapsed },
      { "left_ms", aNotice.mLeft },
      { "requests", aNotice.mRequests },
      { "tried", aNotice.mUsed },
      { "old_running", aNotice.mOldRunning },
      { "old_ready", aNotice.mPools.mOld },
      { "new_ready", aNotice.mPools.mNew },
      { "evidence", aNotice.mEvidence } });
}

std::map<ServiceName, fleet::PoolView>
DutyRunner::Pools(const rollout::RolloutTable& aRollouts, TimePoint aNow) const
{
  std::map<ServiceName, fleet::PoolView> pools;
  for (const auto& [name, known] : mDirectory.All()) {
    const auto& report = known.mReport;
    if (report.mStage == membership::UpstreamStage::kReady && !known.mSilent &&
        CountsForPool(aRollouts, report)) {
      ++pools[report.mService].mReady[{ report.mDomain, report.mReclaimable }];
    }
  }
  for (auto& [service, pool] : pools) {
    pool.mRunning = mTasks.Running(service, aNow);
    const gateway::LimitedUpstreams limited = mTasks.Limited(service, aNow);
    pool.mLimited = static_cast<std::uint32_t>(limited.mCount);
    pool.mRunningAtLimited = static_cast<double>(limited.mRunning);
  }
  return pools;
}

} // namespace peridotspool::runtime
