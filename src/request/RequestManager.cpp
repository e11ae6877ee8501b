#include "peridotspool/request/RequestManager.h"

#include "request/RequestManagerState.h"

namespace peridotspool::request {

RequestManager::RequestManager(MemberId aSelf,
                               RequestOptions aOptions,
                               routing::Router& aRouter)
  : mState(std::make_unique<RequestManagerState>(aSelf, aOptions, aRouter))
{
}

RequestManager::~RequestManager() = default;

Effects
RequestManager::Step(const Event& aEvent, TimePoint aNow)
{
  return mState->Step(aEvent, aNow);
}

std::size_t
RequestManager::Running() const
{
  return mState->Running();
}

std::size_t
RequestManager::Callers() const
{
  return mState->Callers();
}

std::size_t
RequestManager::HeldBytes() const
{
  return mState->HeldBytes();
}

} // namespace peridotspool::request
