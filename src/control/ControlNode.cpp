#include "peridotspool/control/ControlNode.h"

#include "control/ControlNodeState.h"

namespace peridotspool::control {

ControlNode::ControlNode(ControlOptions aOptions,
                         RestoredState aState,
                         TimePoint aNow)
  : mState(std::make_unique<ControlNodeState>(std::move(aOptions),
                                              std::move(aState),
                                              aNow))
{
}

ControlNode::~ControlNode() = default;
ControlNode::ControlNode(ControlNode&&) noexcept = default;
ControlNode&
ControlNode::operator=(ControlNode&&) noexcept = default;

ControlEffects
ControlNode::Step(const ControlEvent& aEvent, TimePoint aNow)
{
  return mState->Step(aEvent, aNow);
}

bool
ControlNode::Leads(TimePoint aNow) const
{
  return mState->Leads(aNow);
}

bool
ControlNode::IsConnected(TimePoint aNow) const
{
  return mState->IsConnected(aNow);
}

const MachineState&
ControlNode::State() const
{
  return mState->State();
}

const ReplicaSet&
ControlNode::Replicas() const
{
  return mState->Replicas();
}

ReplicaId
ControlNode::Self() const
{
  return mState->Self();
}

const std::vector<membership::EntryProfile>&
ControlNode::ReadyEntries(TimePoint aNow)
{
  return mState->ReadyEntries(aNow);
}

bool
ControlNode::Votes() const
{
  return mState->Votes();
}

std::vector<Address>
ControlNode::VoterAddresses() const
{
  return mState->VoterAddresses();
}

std::vector<Address>
ControlNode::ReplicaAddresses() const
{
  return mState->ReplicaAddresses();
}

Term
ControlNode::CurrentTerm() const
{
  return mState->CurrentTerm();
}

std::optional<Address>
ControlNode::LeaderAddress() const
{
  return mState->LeaderAddress();
}

} // namespace peridotspool::control
