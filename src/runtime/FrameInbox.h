#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/wire/PeerEnvelope.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>

namespace peridotspool::runtime {

/** A frame of another process, and when it was read from its connection. */
struct ReceivedFrame
{
  wire::PeerEnvelope mEnvelope;
  TimePoint mReceivedAt;
};

/**
 * Frames that wait for the thread that handles them. Messages of the session
 * with control, among them new settings, go before all others.
 *
 * Thread-safe.
 */
class FrameInbox
{
public:
  /** @param aMaxFrames of the session, and as many others */
  explicit FrameInbox(std::size_t aMaxFrames);

  /** Returns false iff the frame was dropped because too many wait. */
  bool Push(ReceivedFrame aFrame);
  /** Returns the next frame; empty if there is none. */
  std::optional<ReceivedFrame> Pop();
  /** Returns the next frame of the session; empty if there is none. */
  std::optional<ReceivedFrame> PopSession();

private:
  static std::optional<ReceivedFrame> Take(std::deque<ReceivedFrame>& aFrames);

  const std::size_t mMaxFrames;
  std::mutex mMutex;
  std::deque<ReceivedFrame> mSession;
  std::deque<ReceivedFrame> mOthers;
};

} // namespace peridotspool::runtime
