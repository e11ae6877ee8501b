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
      if (aError) {
        self->Reset();
        return;
      }
      self->Pump(self->mToUpstream);
      self->Pump(self->mToPeer);
    });
}

void
Tunnel::Pump(Direction& aDirection)
{
  if (mClosed) {
    return;
  }
  aDirection.mFrom.async_read_some(
    net::buffer(aDirection.mBuffer),
    [self = shared_from_this(), &aDirection](http::ErrorCode aError,
                                             std::size_t aBytes) {
      self->OnRead(aDirection, aError, aBytes);
    });
}

void
Tunnel::OnRead(Direction& aDirection,
               http::ErrorCode aError,
               std::size_t aBytes)
{
  if (mClosed) {
    return;
  }
  if (aError == net::error::eof) {
    Close();
    return;
  }
  if (aError) {
    Reset();
    return;
  }
  mActiveAt = mOwner.Now();
  net::async_write(aDirection.mTo,
                   net::buffer(aDirection.mBuffer, aBytes),
                   [self = shared_from_this(),
                    &aDirection](http::ErrorCode aFault, std::size_t) {
                     if (aFault) {
                       self->Reset();
                     } else {
                       self->Pump(aDirection);
                     }
                   });
}

// A response without a length ends with its connection. A reset must not look
// like its end.
void
Tunnel::Reset()
{
  if (mClosed) {
    return;
  }
  ResetOnClose(mPeer);
  ResetOnClose(mUpstream);
  Close();
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
