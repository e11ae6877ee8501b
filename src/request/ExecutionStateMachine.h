#pragma once

#include "request/ExecutionState.h"

#include <memory>

namespace peridotspool::request {

/** What can happen to a request at its executor; see ExecutionMachine.h. */
enum class ExecutionEvent
{
  kDispatch,
  kIntend,
  kPiece,
  kComplete,
  kRetry,
  kMustVoid,
  kGiveUp,
  kFinishCommitted,
  kTurnLost,
};

/** The state machine of one request's life, apart from its heavy headers. */
class ExecutionStateMachine
{
public:
  ExecutionStateMachine();
  ~ExecutionStateMachine();

  ExecutionState State() const;
  /** Returns true iff the event is legal now; the state has then changed. */
  bool Apply(ExecutionEvent aEvent);

private:
  class Machine;
  std::unique_ptr<Machine> mMachine;
};

} // namespace peridotspool::request
