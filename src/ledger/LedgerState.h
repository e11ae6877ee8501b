#pragma once

#include "ledger/CallTracker.h"
#include "ledger/CopyTransfer.h"
#include "ledger/LedgerContext.h"
#include "ledger/PeeringManager.h"
#include "ledger/ShardPrimary.h"
#include "ledger/ShardReplica.h"
#include "peridotspool/ledger/Ledger.h"

namespace peridotspool::ledger {

/** Dispatches each event to the component that handles it. */
class LedgerState
{
public:
  LedgerState(MemberId aSelf, LedgerOptions aOptions);

  Effects Step(const Event& aEvent, TimePoint aNow);
  LedgerCounters Counters() const;

private:
  void On(const EpochChangedEvent& aEvent);
  void On(const MessageEvent& aEvent);
  void On(const ProposeEvent& aEvent);
  void On(const TickEvent& aEvent);

  void OnMessage(MemberId aFrom, const Message& aMessage);

  LedgerContext mContext;
  ShardPrimary mPrimary;
  CopyTransfer mTransfer;
  ShardReplica mReplica;
  PeeringManager mPeering;
  CallTracker mCalls;
};

} // namespace peridotspool::ledger
