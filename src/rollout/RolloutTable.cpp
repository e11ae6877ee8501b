#include "peridotspool/rollout/RolloutTable.h"

#include <algorithm>
#include <chrono>

namespace peridotspool::rollout {

namespace {

constexpr std::size_t kMaxRolloutsEach = 16;
/**
 * Within this time, a repeated order for a version that was rolled back counts
 * as a resubmission; later it counts as a new order.
 */
constexpr std::chrono::microseconds kResubmissionWindow =
  std::chrono::seconds(20);

bool
IsResubmission(const RolloutOrder& aOrder, const Rollout& aKnown)
{
  return aOrder.mOrderedMicros - aKnown.mOrder.mOrderedMicros <
         kResubmissionWindow.count();
}

} // namespace

OrderVerdict
RolloutTable::Start(const RolloutOrder& aOrder)
{
  const Rollout* latest = Latest(aOrder.mService);
  if (latest != nullptr && latest->mOrder.mTo == aOrder.mTo) {
    const bool isOver = latest->mState == RolloutState::kRolledBack;
    if (!isOver || IsResubmission(aOrder, *latest)) {
      return OrderVerdict::kRepeated;
    }
  } else if (latest != nullptr && latest->IsRunning()) {
    return OrderVerdict::kBusy;
  } else if (Current(aOrder.mService) == aOrder.mTo) {
    return OrderVerdict::kInForce;
  }
  mLastId = mLastId.Next();
  ++mNumber;
  mRollouts.push_back(
    { .mId = mLastId, .mOrder = aOrder, .mEndedMicros = 0, .mReason = {} });
  const auto isOf = [&](const Rollout& aOne) {
    return aOne.mOrder.mService == aOrder.mService;
  };
  if (static_cast<std::size_t>(std::count_if(
        mRollouts.begin(), mRollouts.end(), isOf)) > kMaxRolloutsEach) {
    const VersionName current = Current(aOrder.mService);
    mRollouts.erase(std::find_if(
      mRollouts.begin(), mRollouts.end(), [&](const Rollout& aOne) {
        return isOf(aOne) && aOne.mOrder.mTo != current;
      }));
  }
  return OrderVerdict::kStarted;
}

bool
RolloutTable::End(const RolloutEnd& aEnd)
{
  const auto found =
    std::find_if(mRollouts.begin(), mRollouts.end(), [&](const Rollout& aOne) {
      return aOne.mId == aEnd.mId && aOne.IsRunning();
    });
  if (found == mRollouts.end() || aEnd.mState == RolloutState::kRunning) {
    return false;
  }
  ++mNumber;
  found->mState = aEnd.mState;
  found->mEndedMicros = aEnd.mEndedMicros;
  found->mReason = aEnd.mReason;
  return true;
}

void
RolloutTable::Advance(const RolloutAdvance& aAdvance)
{
  for (Rollout& rollout : mRollouts) {
    if (rollout.mId == aAdvance.mId) {
      rollout.mReserved = std::max(rollout.mReserved, aAdvance.mReserved);
      rollout.mShare = std::max(rollout.mShare, aAdvance.mShare);
    }
  }
}

const Rollout*
RolloutTable::Find(RolloutId aId) const
{
  const auto found =
    std::find_if(mRollouts.begin(), mRollouts.end(), [&](const Rollout& aOne) {
      return aOne.mId == aId;
    });
  return found == mRollouts.end() ? nullptr : &*found;
}

const Rollout*
RolloutTable::Latest(const ServiceName& aService) const
{
  const auto found = std::find_if(
    mRollouts.rbegin(), mRollouts.rend(), [&](const Rollout& aOne) {
      return aOne.mOrder.mService == aService;
    });
  return found == mRollouts.rend() ? nullptr : &*found;
}

VersionName
RolloutTable::Current(const ServiceName& aService) const
{
  const auto found = std::find_if(
    mRollouts.rbegin(), mRollouts.rend(), [&](const Rollout& aOne) {
      return aOne.mOrder.mService == aService &&
             aOne.mState == RolloutState::kCompleted;
    });
  return found == mRollouts.rend() ? VersionName() : found->mOrder.mTo;
}

std::vector<VersionName>
RolloutTable::RolledBack(const ServiceName& aService) const
{
  std::vector<VersionName> seen;
  std::vector<VersionName> rolledBack;
  for (auto one = mRollouts.rbegin(); one != mRollouts.rend(); ++one) {
    const VersionName& version = one->mOrder.mTo;
    if (one->mOrder.mService != aService ||
        std::find(seen.begin(), seen.end(), version) != seen.end()) {
      continue;
    }
    seen.push_back(version);
    if (one->mState == RolloutState::kRolledBack) {
      rolledBack.push_back(version);
    }
  }
  return rolledBack;
}

std::vector<ServiceName>
RolloutTable::Services() const
{
  std::vector<ServiceName> services;
  for (const Rollout& rollout : mRollouts) {
    const ServiceName& service = rollout.mOrder.mService;
    if (std::find(services.begin(), services.end(), service) ==
        services.end()) {
      services.push_back(service);
    }
  }
  return services;
}

} // namespace peridotspool::rollout
