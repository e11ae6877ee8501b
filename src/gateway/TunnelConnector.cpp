#include "gateway/TunnelConnector.h"

#include "gateway/SocketOptions.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace peridotspool::gateway {

namespace {

namespace net = http::net;

constexpr std::string_view kHeadEnd = "\r\n\r\n";

} // namespace

TunnelConnector::TunnelConnector(net::io_context& aIo, Callback aOnDone)
  : mSocket(aIo)
  , mTimer(aIo)
  , mOnDone(std::move(aOnDone))
{
}

void
TunnelConnector::Open(const Address& aTunnelServer,
                      const std::string& aSourceHost,
                      const DialTarget& aTarget,
                      Duration aTimeout)
{
  mRequest = WriteTunnelRequest(aTarget);
  mTimer.expires_after(aTimeout);
  mTimer.async_wait([self = shared_from_this()](http::ErrorCode aError) {
    if (!aError) {
      self->Finish(TunnelFailure::kPeerUnreachable);
    }
  });
  StartConnect(mSocket,
               aTunnelServer,
               aSourceHost,
               [self = shared_from_this()](http::ErrorCode aError) {
                 if (aError) {
                   self->Finish(TunnelFailure::kPeerUnreachable);
                 } else {
                   self->WriteRequest();
                 }
               });
}

void
TunnelConnector::WriteRequest()
{
  SetSocketOptions(mSocket);
  net::async_write(
    mSocket,
    net::buffer(mRequest),
    [self = shared_from_this()](http::ErrorCode aError, std::size_t) {
      if (aError) {
        self->Finish(TunnelFailure::kPeerUnreachable);
      } else {
        self->ReadResponse();
      }
    });
}

void
TunnelConnector::ReadResponse()
{
  net::async_read_until(
    mSocket,
    net::dynamic_buffer(mResponse, kMaxTunnelHeadBytes),
    kHeadEnd,
    [self = shared_from_this()](http::ErrorCode aError, std::size_t) {
      std::optional<TunnelFailure> failure;
      if (aError || !ParseTunnelResponse(self->mResponse, failure)) {
        failure = TunnelFailure::kPeerUnreachable;
      }
      self->Finish(failure);
    });
}

void
TunnelConnector::Finish(const std::optional<TunnelFailure>& aFailure)
{
  const Callback call = std::exchange(mOnDone, {});
  if (!call) {
    return;
  }
  mTimer.cancel();
  http::ErrorCode ignored;
  if (aFailure) {
    mSocket.close(ignored);
  }
  call(aFailure, std::move(mSocket));
}

void
TunnelConnector::Cancel()
{
  mOnDone = {};
  mTimer.cancel();
  http::ErrorCode ignored;
  mSocket.close(ignored);
}

} // namespace peridotspool::gateway
