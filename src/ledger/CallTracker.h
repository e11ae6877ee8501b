#pragma once

#include "ledger/LedgerContext.h"
#include "peridotspool/ledger/Event.h"

#include <map>
#include <set>
#include <utility>

namespace peridotspool::ledger {

class ShardPrimary;

/**
 * Tracks the operations that this entry proposes and resends them to the
 * primaries until they are answered.
 */
class CallTracker
{
public:
  CallTracker(LedgerContext& aContext, ShardPrimary& aPrimary);

  void OnPropose(const ProposeEvent& aEvent);
  void OnAnswer(CallId aCall, const OperationAnswer& aAnswer);
  /** Resends all open calls to the primaries of the new epoch. */
  void OnEpoch();
  void OnTick();

private:
  struct Call
  {
    RequestKey mKey;
    Operation mOperation;
    TimePoint mStarted;
    TimePoint mNextSend;
  };

  void Send(CallId aId, Call& aCall);
  void Finish(CallId aId, OperationAnswer aAnswer);

  LedgerContext& mContext;
  ShardPrimary& mPrimary;
  std::map<CallId, Call> mCalls;
  std::set<std::pair<TimePoint, CallId>> mTimers;
};

} // namespace peridotspool::ledger
