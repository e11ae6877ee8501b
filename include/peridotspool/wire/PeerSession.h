#pragma once

#include "peridotspool/base/LastReason.h"
#include "peridotspool/wire/PeerAuth.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace peridotspool::wire {

struct PeerSessionOptions
{
  PeerRole mRole = PeerRole::kClient;
  /** The key that all processes of one system share. */
  std::string mSharedKey;
  /** Where this process listens; told to the peer by a client. */
  std::string mOwnListen;
  /** A frame longer than this ends the session. */
  std::size_t mMaxFrameBytes = 8U << 20;
};

/**
 * One side of a connection between two of our processes: an HTTP/2 session
 * (nghttp2) with one long-lived stream that carries frames in both directions.
 *
 * It has no socket: bytes come in through Receive and go out through
 * TakeOutput. No frame is given out before the peer has proved that it holds
 * the shared key, and every frame is checked against the session's own key.
 * Not thread-safe.
 */
class PeerSession
{
public:
  explicit PeerSession(PeerSessionOptions aOptions);
  ~PeerSession();

  /**
   * Takes bytes from the socket and appends whole frames to aFrames. Returns
   * false with the reason when the session must be closed.
   */
  bool Receive(std::string_view aBytes,
               std::vector<std::string>& aFrames,
               LastReason& aReason);

  /** Queues a frame; it leaves once the session is authenticated. */
  void Queue(std::string aFrame);

  /** Returns the bytes that the socket is to send now. */
  std::string TakeOutput();

  /** Returns true iff the peer has proved that it holds the key. */
  bool Authenticated() const;
  /** Where the peer listens; empty on the client's side. */
  const std::string& PeerListen() const;
  /** Bytes of frames that wait to be sent. */
  std::size_t QueuedBytes() const;
  /** Bytes of memory that an incomplete frame of the peer takes. */
  std::size_t HeldBytes() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace peridotspool::wire
