#include "wire/OutboundQueue.h"

#include <utility>

namespace peridotspool::wire {

OutboundQueue::OutboundQueue(std::size_t aMaxBulkBytes)
  : mMaxBulkBytes(aMaxBulkBytes)
{
}

bool
OutboundQueue::Push(std::string aFrame, FramePriority aPriority)
{
  const std::size_t size = aFrame.size();
  if (aPriority == FramePriority::kNormal) {
    mNormalBytes += size;
    mNormal.push_back(std::move(aFrame));
    return true;
  }
  if (!mBulk.empty() && mBulkBytes + size > mMaxBulkBytes) {
    return false;
  }
  mBulkBytes += size;
  mBulk.push_back(std::move(aFrame));
  return true;
}

std::optional<std::string>
OutboundQueue::Pop()
{
  const bool isNormal = !mNormal.empty();
  std::deque<std::string>& frames = isNormal ? mNormal : mBulk;
  if (frames.empty()) {
    return std::nullopt;
  }
  std::string frame = std::move(frames.front());
  frames.pop_front();
  (isNormal ? mNormalBytes : mBulkBytes) -= frame.size();
  return frame;
}

} // namespace peridotspool::wire
