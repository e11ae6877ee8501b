#include "gateway/Gateway.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace peridotspool::gateway {

namespace {

namespace net = http::net;

constexpr Duration kSweepPeriod = std::chrono::milliseconds(500);

} // namespace

Gateway::Gateway(GatewayCore& aCore, GatewayOptions aOptions)
  : mCore(aCore)
  , mOptions(std::move(aOptions))
  , mAcceptor(aCore.mIo, [this](http::Tcp::socket aSocket) {
    OnConnection(std::move(aSocket));
  })
{
}

bool
Gateway::Start(LastReason& aReason)
{
  return mAcceptor.Start(mOptions.mListen, aReason);
}

void
Gateway::OnConnection(http::Tcp::socket aSocket)
{
  if (mConnections.size() < mOptions.mMaxConnections) {
    auto connection =
      std::make_shared<CallerConnection>(std::move(aSocket), *this);
    mConnections.emplace(connection.get(), connection);
    connection->Run();
  }
}

void
Gateway::OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                   CallerRequest aRequest)
{
  auto exchange =
    std::make_shared<Exchange>(mCore, aConnection, std::move(aRequest));
  CallerConnection* const connection = aConnection.get();
  mExchanges[connection] = exchange;
  exchange->SetOnEnded([this, connection, weak = std::weak_ptr(exchange)] {
    // Deferred, because the exchange's code is still running. By then the
    // connection may have started its next exchange.
    net::post(mCore.mIo, [this, connection, exchange = weak.lock()] {
      const auto found = mExchanges.find(connection);
      if (found != mExchanges.end() && found->second == exchange) {
        mExchanges.erase(found);
      }
    });
  });
  exchange->Start();
}

void
Gateway::OnDisconnected(CallerConnection& aConnection)
{
  const auto found = mExchanges.find(&aConnection);
  if (found != mExchanges.end()) {
    const auto exchange = found->second;
    exchange->Cancel();
  }
}

void
Gateway::OnClosed(CallerConnection& aConnection)
{
  const auto found = mConnections.find(&aConnection);
  if (found != mConnections.end()) {
    net::post(mCore.mIo, [connection = found->second] { (void)connection; });
    mConnections.erase(found);
  }
}

void
Gateway::OnMalformed(unsigned aStatus, const std::string& aReason)
{
  mCore.mCounters.Add(aStatus == 400 ? observe::CounterId::kRefusedMalformed
                                     : observe::CounterId::kRefusedBound);
  mCore.mLogger.Log(observe::EventId::kHttpBoundExceeded,
                    { { "status", aStatus }, { "reason", aReason } });
}

CallerLimits
Gateway::Limits() const
{
  return mCore.mTable ? mCore.mTable->Limits() : CallerLimits{};
}

void
Gateway::Sweep(TimePoint aNow)
{
  if (aNow - mSweptAt < kSweepPeriod) {
    return;
  }
  mSweptAt = aNow;
  std::vector<std::shared_ptr<CallerConnection>> connections;
  connections.reserve(mConnections.size());
  for (const auto& [key, connection] : mConnections) {
    connections.push_back(connection);
  }
  for (const auto& connection : connections) {
    connection->Sweep(aNow);
  }
  mCore.mPool.Sweep(aNow);
}

void
Gateway::FailStalled(TimePoint aNow)
{
  const bool areOwnSilent = mCore.mUpstreamPath.AreOpenConnectionsSilent(aNow);
  if (!areOwnSilent && !mCore.mTunnelPeers->HasTunnels()) {
    return;
  }
  std::vector<std::shared_ptr<Exchange>> exchanges;
  exchanges.reserve(mExchanges.size());
  for (const auto& [key, exchange] : mExchanges) {
    exchanges.push_back(exchange);
  }
  for (const auto& exchange : exchanges) {
    exchange->FailIfStalled(areOwnSilent);
  }
}

// An exchange ends when the last bytes of its response are queued. If the
// process exited then, a caller that reads slowly would get a truncated
// response.
bool
Gateway::IsQuiet() const
{
  return mExchanges.empty() &&
         std::all_of(
           mConnections.begin(), mConnections.end(), [](const auto& aPair) {
             return aPair.second->QueuedBytes() == 0;
           });
}

void
Gateway::StopAccepting()
{
  mAcceptor.Close();
}

void
Gateway::CloseIdle()
{
  std::vector<std::shared_ptr<CallerConnection>> connections;
  for (const auto& [key, connection] : mConnections) {
    if (connection->IsIdle()) {
      connections.push_back(connection);
    }
  }
  for (const auto& connection : connections) {
    connection->Abort();
  }
}

} // namespace peridotspool::gateway
