// The events of upstream calls, and the bounds on what is held of answers.

#include "request/RequestManagerState.h"

namespace peridotspool::request {

void
RequestManagerState::On(const UpstreamEvent& aEvent)
{
  const auto call = mUpstreamCalls.find(aEvent.mCall);
  if (call == mUpstreamCalls.end()) {
    mEffects->emplace_back(CountEffect{ Tally::kLatePieceDropped });
    return;
  }
  const RequestKey key = call->second;
  const bool goesOn = std::holds_alternative<UpstreamPiece>(aEvent.mOutcome) ||
                      std::holds_alternative<UpstreamHeld>(aEvent.mOutcome);
  if (!goesOn) {
    mUpstreamCalls.erase(call);
  }
  WithExecution(key, [&](Execution& aExecution, StepContext& aContext) {
    aExecution.OnUpstream(aContext, aEvent);
  });
  EnforceBounds(key);
}

void
RequestManagerState::RecordHeld(const RequestKey& aKey)
{
  const auto found = mRequests.find(aKey);
  const Execution* execution =
    found == mRequests.end() ? nullptr : found->second.mExecution.get();
  if (execution == nullptr) {
    mHeldAnswers.Set(aKey, {}, 0);
  } else {
    mHeldAnswers.Set(aKey, execution->Upstream(), execution->HeldBytes());
  }
}

void
RequestManagerState::EnforceBounds(const RequestKey& aGrown)
{
  while (const auto overrun = mHeldAnswers.TakeOverrun(aGrown)) {
    WithExecution(overrun->mKey,
                  [&](Execution& aExecution, StepContext& aContext) {
                    aExecution.EndOverBound(aContext, overrun->mBound);
                  });
  }
}

} // namespace peridotspool::request
