// Handles the callers' events according to whether this entry may serve.

#include "request/EntryNodeState.h"

namespace peridotspool::request {

template<typename CallerRequest>
void
EntryNodeState::ForwardOrReject(const CallerRequest& aEvent)
{
  if (mRequests) {
    StepRequests(aEvent);
  } else {
    ReplyTo(aEvent.mExchange, StatusUnknownReply{});
  }
}

bool
EntryNodeState::MayServe() const
{
  return !mLeaving && mRequests &&
         mSession->MayServe(mNow) == membership::ServeVerdict::kMayServe;
}

void
EntryNodeState::OnCaller(const SubmitEvent& aEvent)
{
  if (MayServe()) {
    StepRequests(aEvent);
    return;
  }
  if (mLeaving) {
    ReplyTo(aEvent.mExchange, MovedReply{});
    return;
  }
  // An entry without contact to the control replicas may have outdated
  // settings, so the caller is sent to another entry at once.
  mEffects->emplace_back(CountEffect{ Tally::kRefusedNotConfirmed });
  ReplyTo(aEvent.mExchange, StatusUnknownReply{});
}

void
EntryNodeState::OnCaller(const AttachEvent& aEvent)
{
  if (mRequests && !mLeaving) {
    StepRequests(aEvent);
  } else if (mLeaving) {
    ReplyTo(aEvent.mExchange, MovedReply{});
  } else {
    ReplyTo(aEvent.mExchange, StatusUnknownReply{});
  }
}

void
EntryNodeState::OnCaller(const CancelEvent& aEvent)
{
  ForwardOrReject(aEvent);
}

void
EntryNodeState::OnCaller(const AcknowledgeEvent& aEvent)
{
  ForwardOrReject(aEvent);
}

void
EntryNodeState::OnCaller(const ShowEvent& aEvent)
{
  ForwardOrReject(aEvent);
}

void
EntryNodeState::OnCaller(const CallerGoneEvent& aEvent)
{
  StepRequests(aEvent);
}

} // namespace peridotspool::request
