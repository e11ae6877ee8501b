// Connections that another entry relays.

#include "gateway/SocketOptions.h"
#include "gateway/UpstreamConnection.h"

#include <boost/asio/buffer.hpp>

namespace peridotspool::gateway {

namespace {

/** Several times the period in which relaying entries keep tunnels alive. */
constexpr Duration kMaxRelaySilence = std::chrono::seconds(1);

} // namespace

bool
UpstreamConnection::ReadRecords(std::size_t aBytes)
{
  std::string data;
  const std::string_view bytes(mRecordBytes.data(), aBytes);
  if (!mRecords.Read(bytes, data)) {
    OnRelayLost();
    return false;
  }
  http::net::buffer_copy(mBuffer.prepare(data.size()), http::net::buffer(data));
  mBuffer.commit(data.size());
  return true;
}

// The process that relays the connection may have ended. Its connections are
// closed in order then, which must not be taken for the end of a response.
void
UpstreamConnection::OnRelayLost()
{
  // Idle tunnels may be closed at any time.
  if (mListener != nullptr) {
    mDialer.RecordRelayLost(mTunnel->Peer());
  }
  Fail("the relaying entry is lost", { .mPathLost = true });
}

bool
UpstreamConnection::IsRelaySilent(TimePoint aNow)
{
  // Bytes that have come and wait to be read are no silence.
  return mTunnel && !mPaused && aNow - *mActiveAt >= kMaxRelaySilence &&
         !HasEofOrData(mSocket);
}

void
UpstreamConnection::FailForLostPath()
{
  if (mTunnel) {
    OnRelayLost();
    return;
  }
  Fail("the path is lost", { .mPathLost = true });
}

} // namespace peridotspool::gateway
