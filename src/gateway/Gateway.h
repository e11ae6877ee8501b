#pragma once

#include "gateway/CallerConnection.h"
#include "gateway/ConnectionAcceptor.h"
#include "gateway/Exchange.h"
#include "gateway/GatewayCore.h"
#include "peridotspool/limits/ConnectionBudget.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace peridotspool::gateway {

struct GatewayOptions
{
  Address mListen;
  limits::ConnectionBounds mBounds;
};

/**
 * Accepts callers' connections and starts an exchange for each request. Used on
 * the relay thread only.
 */
class Gateway : public CallerConnectionOwner
{
public:
  Gateway(GatewayCore& aCore, GatewayOptions aOptions);

  /** Starts listening; returns false and sets the reason on failure. */
  bool Start(LastReason& aReason);
  /** Closes connections whose time-outs have passed. Called every 50 ms;
   * acts every 500 ms. */
  void Sweep(TimePoint aNow);
  /** Moves requests off connections whose path is lost; called every 50 ms. */
  void FailStalled(TimePoint aNow);
  void StopAccepting();
  /** The address in use; valid after Start. */
  Address Listening() const { return mAcceptor.Listening(); }
  /** Closes connections without a request in progress. */
  void CloseIdle();
  /** Refuses the requests that wait and haven't been sent to an upstream. */
  void RefuseUnsent();
  /** Answers the requests in progress; called when the process ends. */
  void AnswerUnfinished();

  /** Returns true iff no request is being served and all responses have been
   * written. */
  bool IsQuiet() const;
  std::size_t Exchanges() const { return mExchanges.size(); }
  std::size_t Connections() const { return mConnections.size(); }

  void OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                 CallerRequest aRequest) override;
  void OnDisconnected(CallerConnection& aConnection) override;
  void OnClosed(CallerConnection& aConnection) override;
  void OnRefused(unsigned aStatus, const std::string& aReason) override;
  void OnHeld(const CallerConnection& aConnection) override;
  void EnforceBounds() override;
  CallerLimits Limits() const override;
  bool AreSettingsFresh() const override;
  TimePoint Now() const override { return mCore.mNow(); }

private:
  void OnConnection(http::Tcp::socket aSocket);
  /** Returns the exchanges at present, as calls to them may change the set. */
  std::vector<std::shared_ptr<Exchange>> CurrentExchanges() const;
  /** Returns false iff the connections are at their bound, and all in use. */
  bool MakeRoomForConnection();
  /** Logs that a connection is over a bound, and ends what it holds. */
  void EndForBound(limits::ConnectionId aConnection,
                   const char* aBound,
                   void (CallerConnection::*aEnd)());

  GatewayCore& mCore;
  GatewayOptions mOptions;
  ConnectionAcceptor mAcceptor;
  limits::ConnectionBudget mBudget;
  bool mIsEnforcing = false;
  std::unordered_map<limits::ConnectionId, std::shared_ptr<CallerConnection>>
    mConnections;
  std::unordered_map<CallerConnection*, std::shared_ptr<Exchange>> mExchanges;
  TimePoint mSweptAt;
};

} // namespace peridotspool::gateway
