#include "runtime/FrameInbox.h"

#include <utility>
#include <variant>

namespace peridotspool::runtime {

FrameInbox::FrameInbox(std::size_t aMaxFrames)
  : mMaxFrames(aMaxFrames)
{
}

bool
FrameInbox::Push(ReceivedFrame aFrame)
{
  const bool isOfSession =
    std::holds_alternative<wire::ToEntryEnvelope>(aFrame.mEnvelope.mPayload);
  const std::lock_guard lock(mMutex);
  std::deque<ReceivedFrame>& frames = isOfSession ? mSession : mOthers;
  if (frames.size() >= mMaxFrames) {
    return false;
  }
  frames.push_back(std::move(aFrame));
  return true;
}

std::optional<ReceivedFrame>
FrameInbox::Pop()
{
  const std::lock_guard lock(mMutex);
  return Take(mSession.empty() ? mOthers : mSession);
}

std::optional<ReceivedFrame>
FrameInbox::PopSession()
{
  const std::lock_guard lock(mMutex);
  return Take(mSession);
}

std::optional<ReceivedFrame>
FrameInbox::Take(std::deque<ReceivedFrame>& aFrames)
{
  if (aFrames.empty()) {
    return std::nullopt;
  }
  std::optional<ReceivedFrame> next(std::move(aFrames.front()));
  aFrames.pop_front();
  return next;
}

} // namespace peridotspool::runtime
