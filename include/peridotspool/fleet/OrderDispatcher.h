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
 * Brings engines to the setup that they are to have, by orders with fencing
 * numbers. Lives on the control leader and begins anew with each one: the
 * engines' own setups are its memory, and an order says what shall be, so that
 * giving it twice is harmless.
 *
 * Engines that ignore fencing numbers get no order before the orders of an
 * earlier leader have surely ended.
 *
 * A pure step without clock, thread or socket. Not thread-safe.
 */
class OrderDispatcher
{
public:
  explicit OrderDispatcher(OrderDispatcherOptions aOptions);

  /** Takes one event and returns what the host is to do, in order. */
  OrderEffects Step(const OrderEvent& aEvent, TimePoint aNow);

  /** Returns true iff an engine has shown that another leader gives orders. */
  bool IsStale() const { return mStale; }

private:
  struct Engine
  {
    Incarnation mIncarnation;
    bool mChecksFencing = false;
    std::optional<DesiredSetupEvent> mWanted;
    /** Known since the last order ended; unset while it isn't. */
    std::optional<EngineSetup> mSetup;
    /** The question whose answer counts; unset if none does. */
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

  void Take(const EngineAnnouncedEvent& aEvent);
  void Take(const EngineGoneEvent& aEvent);
  void Take(const DesiredSetupEvent& aEvent);
  void Take(const SetupReadEvent& aEvent);
  void Take(const FencingNumberIssuedEvent& aEvent);
  void Take(const OrderEndedEvent& aEvent);
  void Take(const OrderTickEvent& aEvent);

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
  /** When the weight store is through with the loads asked for so far. */
  TimePoint mStoreFreeAt;
  bool mStale = false;
};

} // namespace peridotspool::fleet
