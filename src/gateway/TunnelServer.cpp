#include "gateway/TunnelServer.h"

#include "gateway/SocketOptions.h"

#include <boost/asio/ip/address.hpp>

#include <utility>

namespace peridotspool::gateway {

namespace {

namespace net = http::net;
using observe::CounterId;

constexpr std::chrono::milliseconds kAcceptBackoff{ 20 };
/** Longer than idle connections to upstreams are kept. */
constexpr Duration kMaxIdle = std::chrono::seconds(30);
/** A tunnel that carries a request is not idle for longer than this. */
constexpr Duration kMaxIdleStopping = std::chrono::seconds(2);

} // namespace

TunnelServer::TunnelServer(GatewayCore& aCore, TunnelServerOptions aOptions)
  : mCore(aCore)
  , mOptions(std::move(aOptions))
  , mAcceptor(aCore.mIo)
  , mAcceptTimer(aCore.mIo)
{
}

bool
TunnelServer::Start(LastReason& aReason)
{
  http::ErrorCode error;
  const auto host = net::ip::make_address(mOptions.mListen.mHost, error);
  const http::Tcp::endpoint endpoint(host, mOptions.mListen.mPort);
  if (!error) {
    error = ListenAt(mAcceptor, endpoint);
  }
  if (error) {
    aReason.Set("cannot listen for tunnels on " + ToText(mOptions.mListen) +
                ": " + error.message());
    return false;
  }
  Accept();
  return true;
}

Address
TunnelServer::Listening() const
{
  return { mOptions.mListen.mHost, mAcceptor.local_endpoint().port() };
}

void
TunnelServer::Accept()
{
  mAcceptor.async_accept(
    [this](http::ErrorCode aError, http::Tcp::socket aSocket) {
      if (!mAcceptor.is_open()) {
        return;
      }
      if (aError) {
        // Probably out of descriptors; accepting again at once would busy-loop.
        mAcceptTimer.expires_after(kAcceptBackoff);
        mAcceptTimer.async_wait([this](http::ErrorCode aCancelled) {
          if (!aCancelled) {
            Accept();
          }
        });
        return;
      }
      if (mTunnels.size() < mOptions.mMaxTunnels) {
        mTunnels.push_back(std::make_shared<Tunnel>(std::move(aSocket), *this));
        mTunnels.back()->Run();
      }
      Accept();
    });
}

TunnelDecision
TunnelServer::Decide(const DialTarget& aTarget)
{
  if (mCore.mStopping) {
    return TunnelFailure::kPeerBusy;
  }
  if (mCore.mUpstreamPath.Path() == routing::UpstreamPath::kPartitioned) {
    mCore.mCounters.Add(CounterId::kTunnelRefused);
    return TunnelFailure::kPeerPartitioned;
  }
  const auto address =
    mCore.mSelector.ReadyAddress(aTarget.mName, aTarget.mIncarnation);
  if (!address) {
    mCore.mCounters.Add(CounterId::kTunnelRefused);
    return TunnelFailure::kUnknownUpstream;
  }
  mCore.mCounters.Add(CounterId::kTunnelRelayed);
  return *address;
}

void
TunnelServer::OnConnected(const DialTarget& aTarget)
{
  mCore.mDialer.RecordConnected(aTarget.mName);
}

// Entries that are partitioned alike would otherwise confirm to each other that
// the upstream has failed.
TunnelFailure
TunnelServer::OnConnectFailed(const DialTarget& aTarget, TunnelFailure aFailure)
{
  mCore.mUpstreamPath.RecordConnectFailed(aTarget.mName);
  return mCore.mUpstreamPath.IsSuspect() ? TunnelFailure::kPeerPartitioned
                                         : aFailure;
}

std::string
TunnelServer::SourceHost() const
{
  return mCore.mDialer.SourceHost();
}

void
TunnelServer::Sweep(TimePoint aNow)
{
  const Duration maxIdle = mCore.mStopping ? kMaxIdleStopping : kMaxIdle;
  mTunnels.remove_if([&](const std::shared_ptr<Tunnel>& aTunnel) {
    if (aNow - aTunnel->ActiveAt() >= maxIdle) {
      aTunnel->Close();
    }
    return aTunnel->IsClosed();
  });
}

} // namespace peridotspool::gateway
