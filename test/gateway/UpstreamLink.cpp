#include "gateway/UpstreamLink.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <future>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace peridotspool::gateway {

namespace {

namespace net = http::net;

/** How often held bytes are checked for whether they may pass. */
constexpr std::chrono::milliseconds kHeldCheck{ 10 };
/** A connection to a full backlog is not established within this time. */
constexpr int kFullBacklogMs = 30;
constexpr int kMaxFillers = 16;

http::Tcp::endpoint
EndpointOf(const Address& aAddress)
{
  return { net::ip::make_address(aAddress.mHost), aAddress.mPort };
}

} // namespace

/** Both ends of one connection. */
struct UpstreamLink::Pair
{
  Pair(http::Tcp::socket aEntry, net::io_context& aIo)
    : mEnds{ std::move(aEntry), http::Tcp::socket(aIo) }
    , mTimers{ net::steady_timer(aIo), net::steady_timer(aIo) }
  {
  }

  void Reset()
  {
    for (http::Tcp::socket& end : mEnds) {
      http::ErrorCode ignored;
      end.set_option(net::socket_base::linger(true, 0), ignored);
      end.close(ignored);
    }
  }

  std::array<http::Tcp::socket, 2> mEnds;
  std::array<net::steady_timer, 2> mTimers;
  std::array<std::array<char, 16384>, 2> mBytes{};
};

UpstreamLink::UpstreamLink(const Address& aUpstream)
  : mUpstream(EndpointOf(aUpstream))
  , mWhere{ "127.0.0.1", 0 }
{
  mReservation.open(http::Tcp::v4());
  mReservation.set_option(net::socket_base::reuse_address(true));
  mReservation.bind(EndpointOf(mWhere));
  mWhere.mPort = mReservation.local_endpoint().port();
  Listen();
  Accept();
  mThread = std::thread([this] {
    const auto guard = net::make_work_guard(mIo);
    mIo.run();
  });
}

UpstreamLink::~UpstreamLink()
{
  mIo.stop();
  mThread.join();
}

void
UpstreamLink::Set(LinkState aState)
{
  std::promise<void> done;
  net::post(mIo, [&] {
    mState = aState;
    http::ErrorCode ignored;
    mAcceptor.close(ignored);
    mFillers.clear();
    if (aState == LinkState::kReset) {
      ResetAll();
    }
    if (aState == LinkState::kPass || aState == LinkState::kHang) {
      Listen();
    }
    if (aState == LinkState::kPass) {
      Accept();
    } else if (aState == LinkState::kHang) {
      FillBacklog();
    }
    done.set_value();
  });
  done.get_future().wait();
}

std::size_t
UpstreamLink::Connections()
{
  std::promise<std::size_t> count;
  net::post(mIo, [&] { count.set_value(mConnections); });
  return count.get_future().get();
}

void
UpstreamLink::Listen()
{
  mAcceptor.open(http::Tcp::v4());
  mAcceptor.set_option(net::socket_base::reuse_address(true));
  mAcceptor.bind(EndpointOf(mWhere));
  mAcceptor.listen(mState == LinkState::kHang ? 0 : 128);
}

void
UpstreamLink::Accept()
{
  mAcceptor.async_accept(
    [this](http::ErrorCode aError, http::Tcp::socket aSocket) {
      if (aError) {
        return;
      }
      ++mConnections;
      Connect(std::move(aSocket));
      Accept();
    });
}

void
UpstreamLink::Connect(http::Tcp::socket aSocket)
{
  const auto pair = std::make_shared<Pair>(std::move(aSocket), mIo);
  mPairs.remove_if([](const auto& aPair) { return aPair.expired(); });
  mPairs.push_back(pair);
  pair->mEnds[1].async_connect(mUpstream, [this, pair](http::ErrorCode aError) {
    if (aError) {
      pair->Reset();
      return;
    }
    Pump(pair, 0);
    Pump(pair, 1);
  });
}

void
UpstreamLink::Pump(const std::shared_ptr<Pair>& aPair, std::size_t aWay)
{
  if (mState == LinkState::kHang) {
    aPair->mTimers[aWay].expires_after(kHeldCheck);
    aPair->mTimers[aWay].async_wait(
      [this, aPair, aWay](http::ErrorCode) { Pump(aPair, aWay); });
    return;
  }
  aPair->mEnds[aWay].async_read_some(
    net::buffer(aPair->mBytes[aWay]),
    [this, aPair, aWay](http::ErrorCode aError, std::size_t aCount) {
      if (aError) {
        http::ErrorCode ignored;
        aPair->mEnds[1 - aWay].close(ignored);
        return;
      }
      net::async_write(
        aPair->mEnds[1 - aWay],
        net::buffer(aPair->mBytes[aWay], aCount),
        [this, aPair, aWay](http::ErrorCode aFault, std::size_t) {
          if (!aFault) {
            Pump(aPair, aWay);
          }
        });
    });
}

// The kernel establishes connections until the backlog is full, and drops the
// opening packets of further ones.
void
UpstreamLink::FillBacklog()
{
  for (int i = 0; i < kMaxFillers; ++i) {
    http::Tcp::socket filler(mIo);
    filler.open(http::Tcp::v4());
    filler.non_blocking(true);
    const http::Tcp::endpoint endpoint = EndpointOf(mWhere);
    // Asio's own connect would wait until the connection is established.
    ::connect(filler.native_handle(), endpoint.data(), endpoint.size());
    pollfd ready{ .fd = filler.native_handle(),
                  .events = POLLOUT,
                  .revents = 0 };
    const bool established = ::poll(&ready, 1, kFullBacklogMs) > 0;
    mFillers.push_back(std::move(filler));
    if (!established) {
      return;
    }
  }
}

void
UpstreamLink::ResetAll()
{
  for (const auto& weak : mPairs) {
    if (const auto pair = weak.lock()) {
      pair->Reset();
    }
  }
}

} // namespace peridotspool::gateway
