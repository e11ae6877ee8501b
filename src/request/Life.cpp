#include "request/Life.h"

#include "request/LifeMachine.h"

namespace peridotspool::request {

class Life::Machine
{
public:
  Machine() { mMachine.start(); }

  LifeState State() const { return mMachine.mState; }

  template<typename Event>
  bool Process(const Event& aEvent)
  {
    mMachine.mRefused = false;
    mMachine.process_event(aEvent);
    return !mMachine.mRefused;
  }

private:
  LifeMachine mMachine;
};

Life::Life()
  : mMachine(std::make_unique<Machine>())
{
}

Life::~Life() = default;

LifeState
Life::State() const
{
  return mMachine->State();
}

bool
Life::Take(LifeEvent aEvent)
{
  switch (aEvent) {
    case LifeEvent::kDispatch:
      return mMachine->Process(life::Dispatch{});
    case LifeEvent::kIntend:
      return mMachine->Process(life::Intend{});
    case LifeEvent::kPiece:
      return mMachine->Process(life::Piece{});
    case LifeEvent::kComplete:
      return mMachine->Process(life::Complete{});
    case LifeEvent::kRetry:
      return mMachine->Process(life::Retry{});
    case LifeEvent::kMustVoid:
      return mMachine->Process(life::MustVoid{});
    case LifeEvent::kGiveUp:
      return mMachine->Process(life::GiveUp{});
    case LifeEvent::kFinishCommitted:
      return mMachine->Process(life::FinishCommitted{});
    case LifeEvent::kTurnLost:
      return mMachine->Process(life::TurnLost{});
  }
  return false;
}

} // namespace peridotspool::request
