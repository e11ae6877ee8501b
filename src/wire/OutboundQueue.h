#pragma once

#include "peridotspool/wire/FramePriority.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace peridotspool::wire {

/**
 * Frames that wait to be sent on one connection. Bulk frames let all others go
 * first, and are bounded by themselves.
 *
 * Not thread-safe.
 */
class OutboundQueue
{
public:
  /** @param aMaxBulkBytes that may wait; a single frame may be larger */
  explicit OutboundQueue(std::size_t aMaxBulkBytes);

  /** Returns false iff the frame was dropped. */
  bool Push(std::string aFrame, FramePriority aPriority);
  /** Returns the frame to be sent next; empty if there is none. */
  std::optional<std::string> Pop();
  std::size_t Bytes() const { return mNormalBytes + mBulkBytes; }

private:
  const std::size_t mMaxBulkBytes;
  std::deque<std::string> mNormal;
  std::size_t mNormalBytes = 0;
  std::deque<std::string> mBulk;
  std::size_t mBulkBytes = 0;
};

} // namespace peridotspool::wire
