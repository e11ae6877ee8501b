// What an entry does with its callers' events, by whether it may serve.

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
  // An entry cut off from the control replicas may work by old settings; the
  // caller is sent to another one at once.
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
