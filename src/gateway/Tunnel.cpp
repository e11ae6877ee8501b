#include "gateway/Tunnel.h"

#include "gateway/SocketOptions.h"
#include "peridotspool/base/Overloaded.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace peridotspool::gateway {

namespace {

namespace net = http::net;

constexpr Duration kRequestTimeout = std::chrono::seconds(1);
/** The entry that asks has other ways to try meanwhile. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
/** Several of these fit into the time after which a tunnel counts as silent. */
constexpr Duration kKeepAlivePeriod = std::chrono::milliseconds(250);
/** Nobody waits longer for a response after the request's last bytes. */
constexpr Duration kMaxWait = std::chrono::seconds(30);
constexpr std::string_view kHeadEnd = "\r\n\r\n";

} // namespace

Tunnel::Tunnel(http::Tcp::socket aPeer, TunnelOwner& aOwner)
  : mPeer(std::move(aPeer))
  , mUpstream(mPeer.get_executor())
  , mTimer(mPeer.get_executor())
  , mOwner(aOwner)
  , mActiveAt(aOwner.Now())
{
}

void
Tunnel::Run()
{
  SetSocketOptions(mPeer);
  SetKeepAlive(mPeer);
  mTimer.expires_after(kRequestTimeout);
  mTimer.async_wait([self = shared_from_this()](http::ErrorCode aError) {
    if (!aError) {
      self->Close();
    }
  });
  net::async_read_until(
    mPeer,
    net::dynamic_buffer(mHead, kMaxTunnelHeadBytes),
    kHeadEnd,
    [self = shared_from_this()](http::ErrorCode aError, std::size_t) {
      self->OnRequest(aError);
    });
}

void
Tunnel::OnRequest(http::ErrorCode aError)
{
  const auto target = aError ? std::nullopt : ParseTunnelRequest(mHead);
  if (mClosed || !target) {
    Close();
    return;
  }
  mTarget = *target;
  std::visit(
    Overloaded{ [this](const Address& aUpstream) { Connect(aUpstream); },
                [this](TunnelFailure aFailure) { Refuse(aFailure); } },
    mOwner.Decide(*target));
}

void
Tunnel::Connect(const Address& aUpstream)
{
  mTimer.expires_after(kConnectTimeout);
  mTimer.async_wait([self = shared_from_this()](http::ErrorCode aError) {
    if (!aError) {
      self->FailConnect(TunnelFailure::kUpstreamTimedOut);
    }
  });
  StartConnect(mUpstream,
               aUpstream,
               mOwner.SourceHost(),
               [self = shared_from_this()](http::ErrorCode aError) {
                 self->OnConnected(aError);
               });
}

void
Tunnel::OnConnected(http::ErrorCode aError)
{
  if (mClosed || !mResponse.empty()) {
    return;
  }
  if (aError) {
    FailConnect(aError == net::error::connection_refused
                  ? TunnelFailure::kUpstreamRefused
                  : TunnelFailure::kUpstreamTimedOut);
    return;
  }
  mTimer.cancel();
  mOwner.OnConnected(mTarget);
  SetSocketOptions(mUpstream);
  SetKeepAlive(mUpstream);
  Open();
}

void
Tunnel::FailConnect(TunnelFailure aFailure)
{
  if (!mClosed && mResponse.empty()) {
    Refuse(mOwner.OnConnectFailed(mTarget, aFailure));
  }
}

void
Tunnel::Refuse(TunnelFailure aFailure)
{
  if (mClosed) {
    return;
  }
  mTimer.cancel();
  mResponse = WriteTunnelResponse(aFailure);
  net::async_write(mPeer,
                   net::buffer(mResponse),
                   [self = shared_from_this()](http::ErrorCode, std::size_t) {
                     self->Close();
                   });
}

void
Tunnel::Open()
{
  mResponse = WriteTunnelResponse(std::nullopt);
  net::async_write(
    mPeer,
    net::buffer(mResponse),
    [self = shared_from_this()](http::ErrorCode aError, std::size_t) {
      if (aError || self->mClosed) {
        self->Close();
        return;
      }
      self->mOpen = true;
      if (self->mRetireOnceOpen) {
        self->Retire();
      }
      self->ReadPeer();
      self->ReadUpstream();
    });
}

void
Tunnel::ReadPeer()
{
  if (mClosed) {
    return;
  }
  mPeer.async_read_some(
    net::buffer(mFromPeer),
    [self = shared_from_this()](http::ErrorCode aError, std::size_t aBytes) {
      self->OnPeerRead(aError, aBytes);
    });
}

void
Tunnel::OnPeerRead(http::ErrorCode aError, std::size_t aBytes)
{
  if (mClosed) {
    return;
  }
  if (aError) {
    Close();
    return;
  }
  mActiveAt = mOwner.Now();
  mPeerActiveAt = mActiveAt;
  net::async_write(
    mUpstream,
    net::buffer(mFromPeer, aBytes),
    [self = shared_from_this()](http::ErrorCode aFault, std::size_t) {
      // The upstream may have answered before it closed; its end is read.
      if (aFault) {
        self->mWriteFailed = true;
      } else {
        self->ReadPeer();
      }
    });
}

void
Tunnel::ReadUpstream()
{
  if (mClosed) {
    return;
  }
  mUpstream.async_read_some(
    net::buffer(mFromUpstream),
    [self = shared_from_this()](http::ErrorCode aError, std::size_t aBytes) {
      self->OnUpstreamRead(aError, aBytes);
    });
}

void
Tunnel::OnUpstreamRead(http::ErrorCode aError, std::size_t aBytes)
{
  if (mClosed) {
    return;
  }
  if (aError) {
    // A reset that a write has been told of looks like a close here.
    const bool isClosed = aError == net::error::eof && !mWriteFailed;
    mEnding = true;
    SendRecord(isClosed ? TunnelRecordType::kClosed : TunnelRecordType::kReset);
    return;
  }
  mActiveAt = mOwner.Now();
  mUpstreamPaused = true;
  SendRecord(TunnelRecordType::kData, { mFromUpstream.data(), aBytes });
}

void
Tunnel::SendRecord(TunnelRecordType aType, std::string_view aData)
{
  mRecordSentAt = mOwner.Now();
  mRecords += WriteTunnelRecord(aType, aData);
  Flush();
}

void
Tunnel::Flush()
{
  if (!mWriting.empty() || mRecords.empty()) {
    return;
  }
  mWriting.swap(mRecords);
  net::async_write(
    mPeer,
    net::buffer(mWriting),
    [self = shared_from_this()](http::ErrorCode aError, std::size_t) {
      self->OnFlushed(aError);
    });
}

void
Tunnel::OnFlushed(http::ErrorCode aError)
{
  mWriting.clear();
  if (aError || mClosed) {
    Close();
    return;
  }
  Flush();
  if (!mWriting.empty()) {
    return;
  }
  if (mEnding) {
    Close();
  } else if (std::exchange(mUpstreamPaused, false)) {
    ReadUpstream();
  }
}

void
Tunnel::Retire()
{
  if (mClosed || mEnding) {
    return;
  }
  if (mOpen) {
    SendRecord(TunnelRecordType::kRetired);
  } else if (mResponse.empty()) {
    Refuse(TunnelFailure::kUpstreamResting);
  } else {
    mRetireOnceOpen = true;
  }
}

void
Tunnel::KeepAlive(TimePoint aNow)
{
  const bool mayWait = aNow - mPeerActiveAt < kMaxWait;
  if (mOpen && !mClosed && !mEnding && mWriting.empty() && mayWait &&
      aNow - mRecordSentAt >= kKeepAlivePeriod) {
    SendRecord(TunnelRecordType::kKeepAlive);
  }
}

void
Tunnel::Close()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  mTimer.cancel();
  http::ErrorCode ignored;
  mPeer.close(ignored);
  mUpstream.close(ignored);
}

} // namespace peridotspool::gateway
