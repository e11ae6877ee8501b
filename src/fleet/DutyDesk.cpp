#include "peridotspool/fleet/DutyDesk.h"

#include <algorithm>

namespace peridotspool::fleet {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kConflict = 409;
/** An entry that did not report for this long has nothing running. */
constexpr Duration kLoadAge = std::chrono::milliseconds(1500);
constexpr Duration kProposeAgain = std::chrono::seconds(1);
/** Windows this much older than due are not told any more. */
constexpr std::int64_t kGiveUpMicros = 5000000;

} // namespace

DutyDesk::DutyDesk(DutyOptions aOptions)
  : mOptions(aOptions)
  // The rest is for telling it, and telling it again.
  , mUsage(aOptions.mUsageWindow, aOptions.mUsageLate * 4 / 10)
{
}

void
DutyDesk::TakeReport(const gateway::UsageReport& aReport, TimePoint aNow)
{
  mClock.RecordReading(aReport.mEntryIncarnation, aReport.mWallMicros, aNow);
  mUsage.Take(aReport, mClock.Micros(aNow).value_or(aReport.mWallMicros));
  mLoads[aReport.mEntryIncarnation] = { .mRunning = aReport.mRunning,
                                        .mAt = aNow };
  std::erase_if(mLoads, [&](const auto& aPair) {
    return aNow - aPair.second.mAt > kLoadAge;
  });
}

double
DutyDesk::Running(const ServiceName& aService, TimePoint aNow) const
{
  std::uint64_t running = 0;
  for (const auto& [life, load] : mLoads) {
    const auto found = load.mRunning.find(aService);
    if (found != load.mRunning.end() && aNow - load.mAt <= kLoadAge) {
      running += found->second;
    }
  }
  return static_cast<double>(running);
}

void
DutyDesk::NoteLead(const DutyView& aView, TimePoint aNow)
{
  if (!aView.mLeads) {
    mLeadsSince.reset();
    return;
  }
  if (!mLeadsSince || aView.mTerm != mTerm) {
    mLeadsSince = aNow;
    mTerm = aView.mTerm;
    mPlanners.clear();
    mDelivered.clear();
    mUnderWay.clear();
    mTriedAt.clear();
    mProposed.reset();
  }
}

// An earlier holder may have acted right before it lost its lease, and may be
// in charge again right after this one. With a wait of more than half of the
// lease before the first act, it takes longer than a lease from its last act to
// its next one, so no two holders take turns within a lease.
bool
DutyDesk::Holds(const DutyView& aView, TimePoint aNow) const
{
  return aView.mLeads && mLeadsSince && aView.mTerm == mTerm &&
         aNow - *mLeadsSince >= mOptions.mLease * 6 / 10;
}

std::vector<DutyEffect>
DutyDesk::Tick(const DutyView& aView, TimePoint aNow)
{
  NoteLead(aView, aNow);
  std::vector<DutyEffect> effects;
  if (!Holds(aView, aNow)) {
    return effects;
  }
  ExpireCalls(aNow);
  TellUsage(aView, aNow, effects);
  OrderPools(aView, aNow, effects);
  return effects;
}

void
DutyDesk::ExpireCalls(TimePoint aNow)
{
  std::vector<std::uint64_t> silent;
  for (const auto& [number, call] : mUnderWay) {
    if (aNow - call.mAt > 4 * mOptions.mRetryAfter) {
      silent.push_back(number);
    }
  }
  for (const std::uint64_t number : silent) {
    TakeResult(number, 0, aNow);
  }
}

CallCloud
DutyDesk::MakeCall(DutyCall aCall, std::uint64_t aFence, TimePoint aNow)
{
  const std::uint64_t number = ++mLastNumber;
  mUnderWay.emplace(number, UnderWay{ .mCall = aCall, .mAt = aNow });
  return { .mNumber = number, .mCall = std::move(aCall), .mFence = aFence };
}

// Counts are committed before they leave: a later holder that added the reports
// up anew could get other numbers, and would tell the cloud two different
// things about one window. What is committed is told again word for word.
void
DutyDesk::TellUsage(const DutyView& aView,
                    TimePoint aNow,
                    std::vector<DutyEffect>& aEffects)
{
  const auto micros = mClock.Micros(aNow);
  if (!micros) {
    return;
  }
  const auto& committed = *aView.mCommitted;
  const std::uint64_t last = committed.empty() ? 0 : committed.back().mNumber;
  if (mProposed && (last >= *mProposed || aNow - mProposedAt > kProposeAgain)) {
    mProposed.reset();
  }
  if (!mProposed) {
    if (auto due = mUsage.Due(last, *micros)) {
      mProposed = due->mNumber;
      mProposedAt = aNow;
      aEffects.emplace_back(CommitUsage{ std::move(*due) });
    }
  }
  for (const gateway::UsageWindow& window : committed) {
    const std::int64_t due = static_cast<std::int64_t>(window.mNumber + 1) *
                               mOptions.mUsageWindow.count() +
                             mOptions.mUsageLate.count();
    const auto tried = mTriedAt.find(window.mNumber);
    const bool waits =
      tried != mTriedAt.end() && aNow - tried->second < mOptions.mRetryAfter;
    if (!mDelivered.contains(window.mNumber) && !waits &&
        *micros < due + kGiveUpMicros) {
      mTriedAt[window.mNumber] = aNow;
      aEffects.emplace_back(MakeCall(window, aView.mTerm, aNow));
    }
  }
}

void
DutyDesk::OrderPools(const DutyView& aView,
                     TimePoint aNow,
                     std::vector<DutyEffect>& aEffects)
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
DutyDesk::TakeResult(std::uint64_t aNumber, unsigned aStatus, TimePoint aNow)
{
  const auto found = mUnderWay.find(aNumber);
  if (found == mUnderWay.end()) {
    return;
  }
  const DutyCall call = std::move(found->second.mCall);
  mUnderWay.erase(found);
  if (const auto* window = std::get_if<gateway::UsageWindow>(&call)) {
    if (aStatus == kOk) {
      mDelivered.insert(window->mNumber);
    }
    return;
  }
  const auto& order = std::get<PoolOrder>(call);
  const auto planner = mPlanners.find(order.mService);
  if (planner != mPlanners.end()) {
    planner->second.TakeResult(
      order, aStatus == kOk, aStatus == kConflict, aNow);
  }
}

} // namespace peridotspool::fleet
