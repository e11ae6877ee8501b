#pragma once

#include "http/BeastTypes.h"
#include "peridotspool/base/Address.h"

#include <chrono>
#include <cstddef>

namespace peridotspool::http {

/** A connection to a peer, of one call at a time or idle. */
struct ClientConnection
{
  ClientConnection(net::io_context& aIo,
                   Address aPeer,
                   std::size_t aMaxHeaderBytes)
    : mPeer(std::move(aPeer))
    , mStream(aIo)
    , mBuffer(aMaxHeaderBytes + kReadAheadBytes)
  {
  }

  /** Room for body bytes that come with the header. */
  static constexpr std::size_t kReadAheadBytes = 64 << 10;

  const Address mPeer;
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  std::chrono::steady_clock::time_point mIdleSince;
};

} // namespace peridotspool::http
