#include "peridotspool/fleet/OrderDispatcher.h"

#include <algorithm>
#include <utility>

namespace peridotspool::fleet {

Duration
OrderDispatcherOptions::EarlierOrderTimeout() const
{
  // The earlier leader's clock may run slow and this one's fast.
  const double rate = (1.0 + mClockRateBound) / (1.0 - mClockRateBound);
  const Duration all = mLease + mMaxSendDelay + mMaxOrderDuration;
  return Duration(
    static_cast<Duration::rep>(static_cast<double>(all.count()) * rate));
}

OrderDispatcher::OrderDispatcher(OrderDispatcherOptions aOptions)
  : mOptions(aOptions)
  , mLastOrder(aOptions.mLastOrder)
{
}

OrderEffects
OrderDispatcher::Step(const OrderEvent& aEvent, TimePoint aNow)
{
  mNow = std::max(mNow, aNow);
  std::visit([this](const auto& aOne) { Handle(aOne); }, aEvent);
  return std::exchange(mEffects, {});
}

void
OrderDispatcher::Handle(const EngineAnnouncedEvent& aEvent)
{
  Engine& engine = mEngines[aEvent.mEngine];
  if (aEvent.mIncarnation < engine.mIncarnation) {
    return;
  }
  if (aEvent.mIncarnation > engine.mIncarnation) {
    // A new incarnation has an unknown setup and no knowledge of earlier
    // orders.
    if (engine.mOrder) {
      mOrders.erase(*engine.mOrder);
    }
    engine.mOrder.reset();
    engine.mSetup.reset();
    engine.mRead = ReadNumber();
    engine.mBackoff = Duration(0);
    engine.mNotBefore = TimePoint();
  }
  engine.mIncarnation = aEvent.mIncarnation;
  engine.mChecksFencing = aEvent.mChecksFencing;
}

void
OrderDispatcher::Handle(const EngineGoneEvent& aEvent)
{
  const auto engine = mEngines.find(aEvent.mEngine);
  if (engine == mEngines.end()) {
    return;
  }
  if (engine->second.mOrder) {
    mOrders.erase(*engine->second.mOrder);
  }
  mEngines.erase(engine);
}

void
OrderDispatcher::Handle(const DesiredSetupEvent& aEvent)
{
  const auto engine = mEngines.find(aEvent.mEngine);
  if (engine != mEngines.end()) {
    engine->second.mWanted = aEvent;
  }
}

void
OrderDispatcher::Handle(const SetupReadEvent& aEvent)
{
  const auto engine = mEngines.find(aEvent.mEngine);
  // A response to a query sent before the last order ended describes an
  // outdated setup.
  if (engine != mEngines.end() && aEvent.mRead.IsSet() &&
      aEvent.mRead == engine->second.mRead) {
    engine->second.mSetup = aEvent.mSetup;
    engine->second.mRead = ReadNumber();
  }
}

void
OrderDispatcher::Handle(const FencingNumberIssuedEvent& aEvent)
{
  const auto order = mOrders.find(aEvent.mOrder);
  if (order == mOrders.end() || order->second.mSent || mStale) {
    return;
  }
  order->second.mSent = true;
  order->second.mIssuedAt = mNow;
  mEffects.emplace_back(
    SendOrderEffect{ .mOrder = aEvent.mOrder,
                     .mEngine = order->second.mEngine,
                     .mNumber = aEvent.mNumber,
                     .mSetup = order->second.mWanted.mSetup,
                     .mNotAfter = mNow + mOptions.mMaxSendDelay });
}

void
OrderDispatcher::Handle(const OrderEndedEvent& aEvent)
{
  if (aEvent.mOutcome == OrderOutcome::kStale) {
    mStale = true;
  }
  EndOrder(aEvent.mOrder, aEvent.mOutcome == OrderOutcome::kDone);
}

void
OrderDispatcher::Handle(const OrderTickEvent&)
{
  ExpireOrders();
  ReadUnknownSetups();
  if (!mStale) {
    IssueOrders();
  }
}

// An engine that ignores fencing numbers carries out whichever order arrives
// last. An order that an earlier leader sent at the end of its lease could
// arrive or end after this leader's order and undo it unnoticed. The only safe
// way is to wait for the maximum duration of such an order. An engine that
// checks fencing numbers rejects the earlier leader itself.
bool
OrderDispatcher::MayOrder(const Engine& aEngine) const
{
  return aEngine.mChecksFencing ||
         mNow >= mOptions.mLeaderSince + mOptions.EarlierOrderTimeout();
}

void
OrderDispatcher::ReadUnknownSetups()
{
  for (auto& [name, engine] : mEngines) {
    const bool isPending = engine.mRead.IsSet() &&
                           mNow - engine.mReadAt < mOptions.mReadRetryInterval;
    if (engine.mSetup || engine.mOrder || !engine.mWanted || isPending ||
        !MayOrder(engine)) {
      continue;
    }
    mLastRead = mLastRead.Next();
    engine.mRead = mLastRead;
    engine.mReadAt = mNow;
    mEffects.emplace_back(ReadSetupEffect{ mLastRead, name });
  }
}

void
OrderDispatcher::ExpireOrders()
{
  std::vector<OrderId> late;
  for (const auto& [id, order] : mOrders) {
    if (mNow - order.mIssuedAt >=
        mOptions.mMaxOrderDuration + mOptions.mMaxSendDelay) {
      late.push_back(id);
    }
  }
  std::for_each(
    late.begin(), late.end(), [&](OrderId aId) { EndOrder(aId, false); });
}

void
OrderDispatcher::IssueOrders()
{
  std::vector<std::pair<UpstreamName, Engine*>> due;
  for (auto& [name, engine] : mEngines) {
    if (engine.mWanted && engine.mSetup && !engine.mOrder &&
        *engine.mSetup != engine.mWanted->mSetup && mNow >= engine.mNotBefore) {
      due.emplace_back(name, &engine);
    }
  }
  std::stable_sort(due.begin(), due.end(), [](auto& aLeft, auto& aRight) {
    return aLeft.second->mWanted->mUrgency > aRight.second->mWanted->mUrgency;
  });
  for (auto& [name, engine] : due) {
    if (!ReserveStoreBandwidth(*engine)) {
      return;
    }
    IssueOrder(name, *engine);
  }
}

// If every engine fetched its model at once, they would share the weight
// store's bandwidth and none would be ready soon. Loads are requested at the
// store's rate, so the most urgent one finishes first.
bool
OrderDispatcher::ReserveStoreBandwidth(const Engine& aEngine)
{
  if (aEngine.mSetup->mModel == aEngine.mWanted->mSetup.mModel) {
    return true;
  }
  const TimePoint start = std::max(mNow, mStoreFreeAt);
  if (start - mNow > mOptions.mMaxStoreBacklog) {
    return false;
  }
  const double seconds = static_cast<double>(aEngine.mWanted->mModelBytes) /
                         static_cast<double>(mOptions.mStoreBytesPerSecond);
  mStoreFreeAt = start + std::chrono::duration_cast<Duration>(
                           std::chrono::duration<double>(seconds));
  return true;
}

void
OrderDispatcher::IssueOrder(const UpstreamName& aName, Engine& aEngine)
{
  mLastOrder = mLastOrder.Next();
  aEngine.mOrder = mLastOrder;
  mOrders[mLastOrder] = Order{ .mEngine = aName,
                               .mWanted = *aEngine.mWanted,
                               .mIssuedAt = mNow,
                               .mSent = false };
  mEffects.emplace_back(RequestFencingNumberEffect{ mLastOrder });
  EmitDecision(aName,
               "decision=order id=" + std::to_string(mLastOrder.Value()) +
                 " model=" + aEngine.mWanted->mSetup.mModel +
                 " adapter=" + aEngine.mWanted->mSetup.mAdapter +
                 " role=" + aEngine.mWanted->mSetup.mRole);
}

void
OrderDispatcher::EndOrder(OrderId aOrder, bool aSucceeded)
{
  const auto order = mOrders.find(aOrder);
  if (order == mOrders.end()) {
    return;
  }
  Engine& engine = mEngines[order->second.mEngine];
  // Whatever the outcome, only the engine knows its current setup.
  engine.mOrder.reset();
  engine.mSetup.reset();
  engine.mRead = ReadNumber();
  engine.mBackoff = aSucceeded ? Duration(0)
                               : std::clamp(engine.mBackoff * 2,
                                            mOptions.mFailureBackoff,
                                            mOptions.mMaxFailureBackoff);
  engine.mNotBefore = mNow + engine.mBackoff;
  if (!aSucceeded) {
    EmitDecision(order->second.mEngine,
                 "decision=read-back id=" + std::to_string(aOrder.Value()) +
                   " reason=order-failed");
  }
  mOrders.erase(order);
}

void
OrderDispatcher::EmitDecision(const UpstreamName& aEngine, std::string aReason)
{
  mEffects.emplace_back(OrderDecisionEffect{ aEngine, std::move(aReason) });
}

} // namespace peridotspool::fleet
