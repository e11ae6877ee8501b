#include "peridotspool/request/EntryNode.h"

#include "request/EntryNodeState.h"

#include <utility>

namespace peridotspool::request {

EntryNode::EntryNode(EntryNodeOptions aOptions, TimePoint aNow)
  : mState(std::make_unique<EntryNodeState>(std::move(aOptions), aNow))
{
}

EntryNode::~EntryNode() = default;

EntryNodeEffects
EntryNode::Step(const EntryNodeEvent& aEvent, TimePoint aNow)
{
  return mState->Step(aEvent, aNow);
}

membership::DirectoryResponse
EntryNode::Directory(const Region& aRegion)
{
  return mState->Directory(aRegion);
}

EntryNodeStatus
EntryNode::Status(TimePoint aNow) const
{
  return mState->Status(aNow);
}

std::optional<TimePoint>
EntryNode::SettingsConfirmedAt() const
{
  return mState->SettingsConfirmedAt();
}

EntryName
EntryNode::NameOf(MemberId aMember) const
{
  return mState->NameOf(aMember);
}

} // namespace peridotspool::request
