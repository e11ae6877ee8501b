#include "peridotspool/control/StateMachine.h"

#include <utility>

namespace peridotspool::control {

StateMachine::StateMachine(StateMachineOptions aOptions, MachineState aState)
  : mOptions(aOptions)
  , mState(std::move(aState))
  , mSettingsDigest(DigestOf(mState.mSettings.mText))
{
}

ApplyResult
StateMachine::Apply(const Command& aCommand)
{
  return std::visit([this](const auto& aOne) { return ApplyOne(aOne); },
                    aCommand);
}

ApplyResult
StateMachine::ApplyOne(const NoopCommand&)
{
  return NothingApplied{};
}

ApplyResult
StateMachine::ApplyOne(const ReplicaSetCommand&)
{
  return NothingApplied{};
}

ApplyResult
StateMachine::ApplyOne(const FencingCommand&)
{
  mState.mLastFencing = mState.mLastFencing.Next();
  return mState.mLastFencing;
}

// The first counts of a window stay: they may have been told already.
ApplyResult
StateMachine::ApplyOne(const UsageCommand& aCommand)
{
  auto& usage = mState.mUsage;
  if (usage.empty() || aCommand.mWindow.mNumber > usage.back().mNumber) {
    usage.push_back(aCommand.mWindow);
    if (usage.size() > mOptions.mMaxUsageWindows) {
      usage.erase(usage.begin());
    }
  }
  return NothingApplied{};
}

ApplyResult
StateMachine::ApplyOne(const QuotaFloorsCommand& aCommand)
{
  if (aCommand.mFloors.mNumber > mState.mQuotaFloors.mNumber) {
    mState.mQuotaFloors = aCommand.mFloors;
  }
  return NothingApplied{};
}

ApplyResult
StateMachine::ApplyOne(const QuarantineCommand& aCommand)
{
  for (const routing::QuarantineChange& change : aCommand.mChanges) {
    mState.mQuarantine.Apply(change);
  }
  return QuarantineApplied{};
}

ApplyResult
StateMachine::ApplyOne(const RolloutCommand& aCommand)
{
  return std::visit([this](const auto& aOne) { return ApplyRollout(aOne); },
                    aCommand.mChange);
}

ApplyResult
StateMachine::ApplyRollout(const rollout::RolloutOrder& aOrder)
{
  const rollout::OrderVerdict verdict = mState.mRollouts.Start(aOrder);
  return RolloutOrdered{ .mVerdict = verdict,
                         .mLatest = *mState.mRollouts.Latest(aOrder.mService) };
}

ApplyResult
StateMachine::ApplyRollout(const rollout::RolloutEnd& aEnd)
{
  mState.mRollouts.End(aEnd);
  const rollout::Rollout* rollout = mState.mRollouts.Find(aEnd.mId);
  return RolloutChanged{ rollout == nullptr ? ServiceName()
                                            : rollout->mOrder.mService };
}

ApplyResult
StateMachine::ApplyRollout(const rollout::RolloutAdvance& aAdvance)
{
  mState.mRollouts.Advance(aAdvance);
  return NothingApplied{};
}

} // namespace peridotspool::control
