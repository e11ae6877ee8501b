#include "peridotspool/fleet/LeaderTaskManager.h"

#include <algorithm>

namespace peridotspool::fleet {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kConflict = 409;
/** An entry that has not reported for this long counts as idle. */
constexpr Duration kMaxLoadAge = std::chrono::milliseconds(1500);
constexpr Duration kProposalRetryInterval = std::chrono::seconds(1);
/** Bounds the harm of a wrong time, as no upstreams are ordered meanwhile. */
constexpr Duration kMaxCallPause = std::chrono::seconds(30);
/** Windows are no longer reported when they are overdue by more than this. */
constexpr std::int64_t kMaxLateMicros = 5000000;

} // namespace

LeaderTaskManager::LeaderTaskManager(LeaderTaskOptions aOptions)
  : mOptions(aOptions)
  // The remaining time is for sending the report and retrying it.
  , mUsage(aOptions.mUsageWindow, aOptions.mUsageDueAfter * 4 / 10)
{
}

void
LeaderTaskManager::RecordReport(const gateway::UsageReport& aReport,
                                TimePoint aNow)
{
  mClock.RecordReading(aReport.mEntryIncarnation, aReport.mWallMicros, aNow);
  mUsage.AddReport(aReport, mClock.Micros(aNow).value_or(aReport.mWallMicros));
  mLoads[aReport.mEntryIncarnation] = { .mRunning = aReport.mRunning,
                                        .mLimited = aReport.mLimited,
                                        .mAt = aNow };
  if (mLoadScan.IsDue(aNow)) {
    std::erase_if(mLoads, [&](const auto& aPair) {
      return aNow - aPair.second.mAt > kMaxLoadAge;
    });
  }
}

double
LeaderTaskManager::Running(const ServiceName& aService, TimePoint aNow) const
{
  std::uint64_t running = 0;
  for (const auto& [life, load] : mLoads) {
    const auto found = load.mRunning.find(aService);
    if (found != load.mRunning.end() && aNow - load.mAt <= kMaxLoadAge) {
      running += found->second;
    }
  }
  return static_cast<double>(running);
}

gateway::LimitedUpstreams
LeaderTaskManager::Limited(const ServiceName& aService, TimePoint aNow) const
{
  gateway::LimitedUpstreams sum;
  for (const auto& [life, load] : mLoads) {
    const auto found = load.mLimited.find(aService);
    if (found != load.mLimited.end() && aNow - load.mAt <= kMaxLoadAge) {
      sum.mCount += found->second.mCount;
      sum.mRunning += found->second.mRunning;
    }
  }
  return sum;
}

void
LeaderTaskManager::UpdateLeadership(const LeaderTaskView& aView,
                                    TimePoint aNow,
                                    std::vector<LeaderTaskEffect>& aEffects)
{
  if (!aView.mLeads) {
    mLeadingSince.reset();
    CancelCalls(aEffects);
    return;
  }
  if (!mLeadingSince || aView.mTerm != mTerm) {
    CancelCalls(aEffects);
    mLeadingSince = aNow;
    mTerm = aView.mTerm;
    mPlanners.clear();
    mDelivered.clear();
    mLastAttemptAt.clear();
    mProposedWindow.reset();
  }
}

// A call that is held up on its way would otherwise arrive after those of the
// next leader.
void
LeaderTaskManager::CancelCalls(std::vector<LeaderTaskEffect>& aEffects)
{
  for (const auto& [number, call] : mPendingCalls) {
    aEffects.emplace_back(CancelCloudCall{ number });
  }
  mPendingCalls.clear();
}

// An earlier leader may have acted just before it lost its lease and may lead
// again right after this one. Each leader waits for more than half of the lease
// before its first action, so more than a lease passes between the earlier
// leader's last action and its next one. Therefore no two leaders act
// alternately within one lease.
bool
LeaderTaskManager::MayAct(const LeaderTaskView& aView, TimePoint aNow) const
{
  return aView.mLeads && mLeadingSince && aView.mTerm == mTerm &&
         aNow - *mLeadingSince >= mOptions.mLease * 6 / 10;
}

std::vector<LeaderTaskEffect>
LeaderTaskManager::Tick(const LeaderTaskView& aView, TimePoint aNow)
{
  std::vector<LeaderTaskEffect> effects;
  UpdateLeadership(aView, aNow, effects);
  if (!MayAct(aView, aNow)) {
    return effects;
  }
  ExpireCalls(aNow, effects);
  CommitDueUsage(aView, aNow, effects);
  if (aNow >= mNoCallBefore) {
    DeliverUsage(aView, aNow, effects);
    OrderPools(aView, aNow, effects);
  }
  return effects;
}

void
LeaderTaskManager::ExpireCalls(TimePoint aNow,
                               std::vector<LeaderTaskEffect>& aEffects)
{
  std::vector<std::uint64_t> expired;
  for (const auto& [number, call] : mPendingCalls) {
    if (aNow - call.mAt > 4 * mOptions.mRetryInterval) {
      expired.push_back(number);
    }
  }
  for (const std::uint64_t number : expired) {
    aEffects.emplace_back(CancelCloudCall{ number });
    HandleResult(number, 0, Duration(0), aNow);
  }
}

SendCloudCall
LeaderTaskManager::MakeCall(CloudCall aCall,
                            std::uint64_t aFence,
                            TimePoint aNow)
{
  const std::uint64_t number = ++mLastCallNumber;
  mPendingCalls.emplace(number, PendingCall{ .mCall = aCall, .mAt = aNow });
  return { .mNumber = number, .mCall = std::move(aCall), .mFence = aFence };
}

// Counts are committed before they are sent. A later leader that summed up the
// reports again could get other numbers and would report two different results
// for one window. Committed counts are sent again unchanged.
void
LeaderTaskManager::CommitDueUsage(const LeaderTaskView& aView,
                                  TimePoint aNow,
                                  std::vector<LeaderTaskEffect>& aEffects)
{
  const auto micros = mClock.Micros(aNow);
  if (!micros) {
    return;
  }
  const auto& committed = *aView.mCommitted;
  const std::uint64_t last = committed.empty() ? 0 : committed.back().mNumber;
  if (mProposedWindow && (last >= *mProposedWindow ||
                          aNow - mProposedAt > kProposalRetryInterval)) {
    mProposedWindow.reset();
  }
  if (!mProposedWindow) {
    if (auto due = mUsage.Due(last, *micros)) {
      mProposedWindow = due->mNumber;
      mProposedAt = aNow;
      aEffects.emplace_back(CommitUsage{ std::move(*due) });
    }
  }
}

void
LeaderTaskManager::DeliverUsage(const LeaderTaskView& aView,
                                TimePoint aNow,
                                std::vector<LeaderTaskEffect>& aEffects)
{
  const auto micros = mClock.Micros(aNow);
  if (!micros) {
    return;
  }
  const auto& committed = *aView.mCommitted;
  for (const gateway::UsageWindow& window : committed) {
    const std::int64_t due = static_cast<std::int64_t>(window.mNumber + 1) *
                               mOptions.mUsageWindow.count() +
                             mOptions.mUsageDueAfter.count();
    const auto lastAttempt = mLastAttemptAt.find(window.mNumber);
    const bool isPending = lastAttempt != mLastAttemptAt.end() &&
                           aNow - lastAttempt->second < mOptions.mRetryInterval;
    if (!mDelivered.contains(window.mNumber) && !isPending &&
        *micros < due + kMaxLateMicros) {
      mLastAttemptAt[window.mNumber] = aNow;
      aEffects.emplace_back(MakeCall(window, aView.mTerm, aNow));
    }
  }
}

void
LeaderTaskManager::OrderPools(const LeaderTaskView& aView,
                              TimePoint aNow,
                              std::vector<LeaderTaskEffect>& aEffects)
{
  if (aView.mTable == nullptr || aView.mPools == nullptr) {
    return;
  }
  for (const auto& service : aView.mTable->Source().mServices) {
    const auto pool = aView.mPools->find(service.mName);
    if (!service.mScaling || pool == aView.mPools->end()) {
      continue;
    }
    auto& planner =
      mPlanners.try_emplace(service.mName, mOptions.mPool).first->second;
    for (const PoolOrder& order : planner.Plan(service, pool->second, aNow)) {
      aEffects.emplace_back(MakeCall(order, aView.mTerm, aNow));
    }
  }
}

void
LeaderTaskManager::HandleResult(std::uint64_t aNumber,
                                unsigned aStatus,
                                Duration aRetryAfter,
                                TimePoint aNow)
{
  mNoCallBefore = std::max(
    mNoCallBefore, aNow + std::min<Duration>(aRetryAfter, kMaxCallPause));
  const auto found = mPendingCalls.find(aNumber);
  if (found == mPendingCalls.end()) {
    return;
  }
  const CloudCall call = std::move(found->second.mCall);
  mPendingCalls.erase(found);
  if (const auto* window = std::get_if<gateway::UsageWindow>(&call)) {
    if (aStatus == kOk) {
      mDelivered.insert(window->mNumber);
    }
    return;
  }
  const auto& order = std::get<PoolOrder>(call);
  const auto planner = mPlanners.find(order.mService);
  if (planner != mPlanners.end()) {
    planner->second.HandleResult(
      order, aStatus == kOk, aStatus == kConflict, aNow);
  }
}

} // namespace peridotspool::fleet
