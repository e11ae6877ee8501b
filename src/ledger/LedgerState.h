#pragma once

#include "ledger/CallDuty.h"
#include "ledger/LedgerContext.h"
#include "ledger/PeeringDuty.h"
#include "ledger/PrimaryDuty.h"
#include "ledger/ReplicaDuty.h"
#include "ledger/TransferDuty.h"
#include "peridotspool/ledger/Ledger.h"

namespace peridotspool::ledger {

/** Hands each event to the duty that it concerns. */
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
  PrimaryDuty mPrimary;
  TransferDuty mTransfer;
  ReplicaDuty mReplica;
  PeeringDuty mPeering;
  CallDuty mCalls;
};

} // namespace peridotspool::ledger
