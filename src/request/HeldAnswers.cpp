#include "request/HeldAnswers.h"

namespace peridotspool::request {

HeldAnswers::HeldAnswers(const limits::ResponseBounds& aBounds)
  : mBounds(aBounds)
  , mBudget(aBounds.mTotalBytes)
{
}

void
HeldAnswers::Set(const RequestKey& aKey,
                 const UpstreamName& aUpstream,
                 std::size_t aBytes)
{
  const auto found = mHeld.find(aKey);
  if (aBytes == 0) {
    if (found != mHeld.end()) {
      Take(found, Tally::kBoundBodyBytes);
    }
    return;
  }
  const auto held = found == mHeld.end()
                      ? mHeld.emplace(aKey, Held{ .mTag = ++mLastTag }).first
                      : found;
  mKeys.emplace(held->second.mTag, aKey);
  held->second.mUpstream = aUpstream;
  held->second.mBytes = aBytes;
  mBudget.Set(held->second.mTag, aUpstream, aBytes);
}

std::optional<AnswerOverrun>
HeldAnswers::TakeOverrun(const RequestKey& aGrown)
{
  const auto grown = mHeld.find(aGrown);
  if (grown == mHeld.end()) {
    return std::nullopt;
  }
  if (grown->second.mBytes > mBounds.mResponseBytes) {
    return Take(grown, Tally::kBoundBodyBytes);
  }
  const auto overrun = mBudget.FindOverrun(grown->second.mUpstream);
  if (!overrun) {
    return std::nullopt;
  }
  return Take(mHeld.find(mKeys.at(overrun->mResponse)),
              overrun->mBroken.mBound == limits::ResponseBound::kUpstreamMemory
                ? Tally::kBoundUpstreamMemory
                : Tally::kBoundTotalMemory);
}

AnswerOverrun
HeldAnswers::Take(HeldMap::iterator aHeld, Tally aBound)
{
  AnswerOverrun taken{ .mKey = aHeld->first, .mBound = aBound };
  mBudget.Remove(aHeld->second.mTag);
  mKeys.erase(aHeld->second.mTag);
  mHeld.erase(aHeld);
  return taken;
}

} // namespace peridotspool::request
