#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/fleet/OrderDispatcherOptions.h"
#include "peridotspool/fleet/OrderEffect.h"
#include "peridotspool/fleet/OrderEvent.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotspool::fleet {

/**
 * Brings engines to their desired setup by orders with fencing numbers. Runs on
 * the control leader. Each new leader starts without state and reads the setups
 * back from the engines. An order states the desired setup, so sending it twice
 * is idempotent.
 *
 * Engines that ignore fencing numbers receive no order until every order of an
 * earlier leader must have ended.
 *
 * A state machine without clock, threads or sockets. Not thread-safe.
 */
class OrderDispatcher
{
public:
  explicit OrderDispatcher(OrderDispatcherOptions aOptions);

  /**
   * Processes one event and returns the effects that the host carries out in
   * order.
   */
  OrderEffects Step(const OrderEvent& aEvent, TimePoint aNow);

  /**
   * Returns true iff an engine has rejected a fencing number as stale, which
   * means that another leader issues orders.
   */
  bool IsStale() const { return mStale; }

private:
  struct Engine
  {
    Incarnation mIncarnation;
    bool mChecksFencing = false;
    std::optional<DesiredSetupEvent> mWanted;
    /** Unset until the setup has been read back after the last order. */
    std::optional<EngineSetup> mSetup;
    /** The only query whose response is accepted; unset if none is. */
    ReadNumber mRead;
    TimePoint mReadAt;
    std::optional<OrderId> mOrder;
    Duration mBackoff{ 0 };
    TimePoint mNotBefore;
  };
  struct Order
  {
    UpstreamName mEngine;
    DesiredSetupEvent mWanted;
    TimePoint mIssuedAt;
    bool mSent = false;
  };

  void Handle(const EngineAnnouncedEvent& aEvent);
  void Handle(const EngineGoneEvent& aEvent);
  void Handle(const DesiredSetupEvent& aEvent);
  void Handle(const SetupReadEvent& aEvent);
  void Handle(const FencingNumberIssuedEvent& aEvent);
  void Handle(const OrderEndedEvent& aEvent);
  void Handle(const OrderTickEvent& aEvent);

  bool MayOrder(const Engine& aEngine) const;
  void ReadUnknownSetups();
  void ExpireOrders();
  void IssueOrders();
  bool ReserveStoreBandwidth(const Engine& aEngine);
  void IssueOrder(const UpstreamName& aName, Engine& aEngine);
  void EndOrder(OrderId aOrder, bool aSucceeded);
  void EmitDecision(const UpstreamName& aEngine, std::string aReason);

  OrderDispatcherOptions mOptions;
  TimePoint mNow;
  OrderEffects mEffects;
  std::map<UpstreamName, Engine> mEngines;
  std::map<OrderId, Order> mOrders;
  OrderId mLastOrder;
  ReadNumber mLastRead;
  /** When the weight store will have finished all loads requested so far. */
  TimePoint mStoreFreeAt;
  bool mStale = false;
};

} // namespace peridotspool::fleet
