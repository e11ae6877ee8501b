#pragma once

#include "request/ExecutionState.h"

#include <memory>

namespace peridotspool::request {

/** The events of a request at its executor; see ExecutionTransitions.h. */
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

/** The state machine of one execution; hides the Boost.MSM headers, which are
 * slow to compile. */
class ExecutionStateMachine
{
public:
  ExecutionStateMachine();
  ~ExecutionStateMachine();

  ExecutionState State() const;
  /** Applies an event and returns true, or returns false and keeps the state if
   * the event is illegal in it. */
  bool Apply(ExecutionEvent aEvent);

private:
  class Machine;
  std::unique_ptr<Machine> mMachine;
};

} // namespace peridotspool::request
