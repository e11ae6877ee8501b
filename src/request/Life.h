#pragma once

#include "request/LifeState.h"

#include <memory>

namespace peridotspool::request {

/** What can happen to a request at its executor; see LifeMachine.h. */
enum class LifeEvent
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
class Life
{
public:
  Life();
  ~Life();

  LifeState State() const;
  /** Returns true iff the event is legal now; the state has then changed. */
  bool Take(LifeEvent aEvent);

private:
  class Machine;
  std::unique_ptr<Machine> mMachine;
};

} // namespace peridotspool::request
