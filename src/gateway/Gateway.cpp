#include "gateway/Gateway.h"

#include <boost/describe/enum_to_string.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace peridotspool::gateway {

namespace {

namespace net = http::net;

using observe::CounterId;

constexpr Duration kSweepPeriod = std::chrono::milliseconds(500);
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnavailable = 503;

} // namespace

Gateway::Gateway(GatewayCore& aCore, GatewayOptions aOptions)
  : mCore(aCore)
  , mOptions(std::move(aOptions))
  , mAcceptor(
      aCore.mIo,
      [this](http::Tcp::socket aSocket) { OnConnection(std::move(aSocket)); })
  , mBudget(mOptions.mBounds)
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
  if (!MakeRoomForConnection()) {
    mCore.mCounters.Add(CounterId::kRefusedConnections);
    return;
  }
  const limits::ConnectionId id = mBudget.Open(mCore.mNow());
  auto connection =
    std::make_shared<CallerConnection>(std::move(aSocket), *this, id);
  mConnections.emplace(id, connection);
  connection->Run();
}

bool
Gateway::MakeRoomForConnection()
{
  if (!mBudget.IsFull()) {
    return true;
  }
  if (const auto replaced = mBudget.FindReplaceable(mCore.mNow())) {
    EndForBound(*replaced, "connections", &CallerConnection::Disconnect);
  }
  return !mBudget.IsFull();
}

void
Gateway::EndForBound(limits::ConnectionId aConnection,
                     const char* aBound,
                     void (CallerConnection::*aEnd)())
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return;
  }
  const auto connection = found->second;
  const limits::ConnectionState state = connection->State();
  mCore.mCounters.Add(CounterId::kConnectionGaveWay);
  mCore.mLogger.Log(
    observe::EventId::kConnectionGaveWay,
    { { "bound", aBound },
      { "phase", boost::describe::enum_to_string(state.mPhase, "") },
      { "bytes", state.mBytes },
      { "held_bytes", mBudget.Bytes() },
      { "connections", mBudget.Count() } });
  (*connection.*aEnd)();
}

void
Gateway::OnHeld(const CallerConnection& aConnection)
{
  mBudget.Update(aConnection.Id(), aConnection.State(), mCore.mNow());
  // Deferred, because the connection may be in the midst of a response.
  if (mBudget.IsOver() && !std::exchange(mIsEnforcing, true)) {
    net::post(mCore.mIo, [this] {
      mIsEnforcing = false;
      EnforceBounds();
    });
  }
}

void
Gateway::EnforceBounds()
{
  const TimePoint now = mCore.mNow();
  // Each connection gives way once: it is closed or drained after that.
  while (const auto overrun = mBudget.FindOverrun(now)) {
    EndForBound(*overrun, "bytes", &CallerConnection::GiveWay);
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
  mBudget.Close(aConnection.Id());
  const auto found = mConnections.find(aConnection.Id());
  if (found != mConnections.end()) {
    net::post(mCore.mIo, [connection = found->second] { (void)connection; });
    mConnections.erase(found);
  }
}

void
Gateway::OnRefused(unsigned aStatus, const std::string& aReason)
{
  mCore.mCounters.Add(aStatus == kBadRequest    ? CounterId::kRefusedMalformed
                      : aStatus == kUnavailable ? CounterId::kRefusedMemory
                                                : CounterId::kRefusedBound);
  mCore.mLogger.Log(observe::EventId::kHttpBoundExceeded,
                    { { "status", aStatus }, { "reason", aReason } });
}

CallerLimits
Gateway::Limits() const
{
  return mCore.mTable ? mCore.mTable->Limits() : CallerLimits{};
}

bool
Gateway::AreSettingsFresh() const
{
  return mCore.mSettingsConfirmation.IsFresh(mCore.mNow());
}

void
Gateway::Sweep(TimePoint aNow)
{
  if (aNow - mSweptAt < kSweepPeriod) {
    return;
  }
  mSweptAt = aNow;
  mCore.mCounters.Set(CounterId::kCallerBytesHeld, mBudget.Bytes());
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
  for (const auto& exchange : CurrentExchanges()) {
    exchange->FailIfStalled(areOwnSilent);
  }
}

std::vector<std::shared_ptr<Exchange>>
Gateway::CurrentExchanges() const
{
  std::vector<std::shared_ptr<Exchange>> exchanges;
  exchanges.reserve(mExchanges.size());
  for (const auto& [key, exchange] : mExchanges) {
    exchanges.push_back(exchange);
  }
  return exchanges;
}

void
Gateway::RefuseUnsent()
{
  for (const auto& exchange : CurrentExchanges()) {
    exchange->RefuseIfUnsent();
  }
}

void
Gateway::AnswerUnfinished()
{
  for (const auto& exchange : CurrentExchanges()) {
    exchange->EndWithProcess();
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
