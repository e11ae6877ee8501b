#include "request/ExecutionStateMachine.h"

#include "request/ExecutionTransitions.h"

namespace peridotspool::request {

class ExecutionStateMachine::Machine
{
public:
  Machine() { mMachine.start(); }

  ExecutionState State() const { return mMachine.mState; }

  template<typename Event>
  bool Process(const Event& aEvent)
  {
    mMachine.mRejected = false;
    mMachine.process_event(aEvent);
    return !mMachine.mRejected;
  }

private:
  ExecutionMachine mMachine;
};

ExecutionStateMachine::ExecutionStateMachine()
  : mMachine(std::make_unique<Machine>())
{
}

ExecutionStateMachine::~ExecutionStateMachine() = default;

ExecutionState
ExecutionStateMachine::State() const
{
  return mMachine->State();
}

bool
ExecutionStateMachine::Apply(ExecutionEvent aEvent)
{
  switch (aEvent) {
    case ExecutionEvent::kDispatch:
      return mMachine->Process(transition_event::Dispatch{});
    case ExecutionEvent::kIntend:
      return mMachine->Process(transition_event::Intend{});
    case ExecutionEvent::kPiece:
      return mMachine->Process(transition_event::Piece{});
    case ExecutionEvent::kComplete:
      return mMachine->Process(transition_event::Complete{});
    case ExecutionEvent::kRetry:
      return mMachine->Process(transition_event::Retry{});
    case ExecutionEvent::kMustVoid:
      return mMachine->Process(transition_event::MustVoid{});
    case ExecutionEvent::kGiveUp:
      return mMachine->Process(transition_event::GiveUp{});
    case ExecutionEvent::kFinishCommitted:
      return mMachine->Process(transition_event::FinishCommitted{});
    case ExecutionEvent::kTurnLost:
      return mMachine->Process(transition_event::TurnLost{});
  }
  return false;
}

} // namespace peridotspool::request
