#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/LastReason.h"
#include "peridotspool/wire/FramePriority.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotspool::wire {

struct PeerTransportOptions
{
  /** Where others reach this process; it is known to them by it. */
  Address mListen;
  /** Where it listens and connects from, if that differs. */
  std::optional<Address> mBind;
  std::string mSharedKey;
  std::size_t mMaxFrameBytes = 8U << 20;
  /** Bytes that may wait for one peer; more frames to it are dropped. */
  std::size_t mMaxQueuedBytes = 32U << 20;
  /** The same for all peers together, so that a slow link can't fill memory. */
  std::size_t mMaxQueuedInAll = 48U << 20;
  /** Beyond this many bytes for all peers together, bulk frames are dropped. */
  std::size_t mMaxQueuedWithBulk = 16U << 20;
  /** Bytes of incomplete frames of all peers together. Connections on which
   * they make no progress are closed first. */
  std::size_t mMaxReceivedInAll = 48U << 20;
  std::size_t mMaxConnections = 1024;
  /** A frame that got no other answer is answered by a heartbeat this soon. */
  std::chrono::milliseconds mHeartbeat{ 500 };
  /** A connection on which a frame got no byte back for this long is closed,
   * and a new one tried. */
  std::chrono::milliseconds mSilence{ 1500 };
  /**
   * A connection that can't be made is given up after the first time, and after
   * twice as long at each further try, up to the second. An opening packet to a
   * machine without power is lost, and the system repeats it after a second.
   */
  std::chrono::milliseconds mFirstConnectTimeout{ 250 };
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  /** A connection that carried no frame of ours or theirs is closed. */
  std::chrono::milliseconds mIdle{ 60000 };
};

/** What the transport counts, for /metrics; see the events of the same names.
 */
struct PeerTransportCounts
{
  std::uint64_t mFramesSent = 0;
  std::uint64_t mFramesReceived = 0;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;
  std::uint64_t mFramesDropped = 0;
  /** Of the dropped ones: larger than a frame may be. */
  std::uint64_t mFramesOversized = 0;
  std::uint64_t mHandshakesRefused = 0;
  std::uint64_t mConnectionsSilent = 0;
  std::uint64_t mConnectionsOpened = 0;
};

/**
 * Carries frames between our processes over TCP, on a thread of its own.
 *
 * Delivery is not promised: a frame may be lost when a connection breaks, and
 * the cores are made for that. A connection is opened when it is first needed,
 * used in both directions, proved alive by an answer to each frame, and
 * replaced by a new one after silence. The handler runs on the transport's
 * thread and must not block; Send may be called from any thread.
 */
class PeerTransport
{
public:
  using FrameHandler = std::function<void(std::string)>;

  PeerTransport(PeerTransportOptions aOptions, FrameHandler aOnFrame);
  ~PeerTransport();

  /** Listens and starts the thread; false with the reason if it can't. */
  bool Start(LastReason& aReason);
  /** The address in use; valid after Start. */
  Address LocalAddress() const;
  /** Sends a frame to the process that listens there, or drops it. */
  void Send(const Address& aPeer,
            std::string aFrame,
            FramePriority aPriority = FramePriority::kNormal);
  /** Sends what is queued, closes everything and joins the thread. */
  void Stop();

  PeerTransportCounts Counts() const;
  /**
   * Returns the peers to which connections have failed or gone silent for two
   * seconds and more, up to now, with none made meanwhile.
   */
  std::vector<Address> Unreachable() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace peridotspool::wire
