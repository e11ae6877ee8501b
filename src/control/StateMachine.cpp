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
  return std::visit([this](const auto& aOne) { return ApplyCommand(aOne); },
                    aCommand);
}

ApplyResult
StateMachine::ApplyCommand(const NoopCommand&)
{
  return NoResultApplied{};
}

ApplyResult
StateMachine::ApplyCommand(const ReplicaSetCommand&)
{
  return NoResultApplied{};
}

ApplyResult
StateMachine::ApplyCommand(const FencingCommand&)
{
  mState.mLastFencing = mState.mLastFencing.Next();
  return mState.mLastFencing;
}

// The first counts of a window are final because they may have been reported
// already.
ApplyResult
StateMachine::ApplyCommand(const UsageCommand& aCommand)
{
  auto& usage = mState.mUsage;
  if (usage.empty() || aCommand.mWindow.mNumber > usage.back().mNumber) {
    usage.push_back(aCommand.mWindow);
    if (usage.size() > mOptions.mMaxUsageWindows) {
      usage.erase(usage.begin());
    }
  }
  return NoResultApplied{};
}

ApplyResult
StateMachine::ApplyCommand(const QuotaFloorsCommand& aCommand)
{
  if (aCommand.mFloors.mNumber > mState.mQuotaFloors.mNumber) {
    mState.mQuotaFloors = aCommand.mFloors;
  }
  return NoResultApplied{};
}

ApplyResult
StateMachine::ApplyCommand(const QuarantineCommand& aCommand)
{
  for (const routing::QuarantineChange& change : aCommand.mChanges) {
    mState.mQuarantine.Apply(change);
  }
  return QuarantineApplied{};
}

ApplyResult
StateMachine::ApplyCommand(const RolloutCommand& aCommand)
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
  return NoResultApplied{};
}

} // namespace peridotspool::control
