// Handles rollout requests of operators and of the leader.

#include "control/ControlNodeState.h"

#include <utility>

namespace peridotspool::control {

void
ControlNodeState::HandleRequest(CallId aCall,
                                const RolloutStartRequest& aRequest)
{
  ProposeFor(aCall, RolloutCommand{ aRequest.mOrder });
}

void
ControlNodeState::HandleRequest(CallId aCall, const RolloutsRequest& aRequest)
{
  Answer(aCall, Rollouts(aRequest.mService));
}

void
ControlNodeState::HandleRequest(CallId aCall,
                                const RolloutAbortRequest& aRequest)
{
  const rollout::Rollout* latest = State().mRollouts.Latest(aRequest.mService);
  if (latest == nullptr || !latest->IsRunning()) {
    Answer(aCall, RefusedResponse{ "no rollout is running for that service" });
    return;
  }
  ProposeFor(aCall,
             RolloutCommand{ rollout::RolloutEnd{
               .mId = latest->mId,
               .mState = rollout::RolloutState::kRolledBack,
               .mEndedMicros = aRequest.mMicros,
               .mReason = "an operator aborted it" } });
}

void
ControlNodeState::HandleRequest(CallId aCall,
                                const RolloutChangeRequest& aRequest)
{
  std::visit(
    [&](const auto& aChange) { ProposeFor(aCall, RolloutCommand{ aChange }); },
    aRequest.mChange);
}

RolloutsResponse
ControlNodeState::Rollouts(const ServiceName& aService) const
{
  RolloutsResponse answer;
  for (const rollout::Rollout& rollout : State().mRollouts.mRollouts) {
    if (!aService.IsSet() || rollout.mOrder.mService == aService) {
      answer.mRollouts.push_back(rollout);
    }
  }
  return answer;
}

} // namespace peridotspool::control
