// ctest-labels: unit
#include "request/ExecutionStateMachine.h"

#include <catch2/catch.hpp>

namespace peridotspool::request {

TEST_CASE("NonIdempotentRequestIsSentOnlyAfterItsIntent")
{
  ExecutionStateMachine machine;
  REQUIRE(machine.Apply(ExecutionEvent::kIntend));
  CHECK(machine.State() == ExecutionState::kIntending);
  CHECK_FALSE(machine.Apply(ExecutionEvent::kPiece));
  CHECK(machine.State() == ExecutionState::kIntending);
  REQUIRE(machine.Apply(ExecutionEvent::kDispatch));
  CHECK(machine.State() == ExecutionState::kDispatched);
}

TEST_CASE("EveryEventIsRejectedAfterTheEnd")
{
  ExecutionStateMachine machine;
  REQUIRE(machine.Apply(ExecutionEvent::kGiveUp));
  REQUIRE(machine.Apply(ExecutionEvent::kFinishCommitted));
  for (const ExecutionEvent event : { ExecutionEvent::kDispatch,
                                      ExecutionEvent::kPiece,
                                      ExecutionEvent::kComplete,
                                      ExecutionEvent::kRetry,
                                      ExecutionEvent::kGiveUp,
                                      ExecutionEvent::kTurnLost }) {
    CHECK_FALSE(machine.Apply(event));
    CHECK(machine.State() == ExecutionState::kEnded);
  }
}

TEST_CASE("LostExecutorTurnEndsARequestInEveryActiveState")
{
  const std::vector<std::vector<ExecutionEvent>> paths{
    {},
    { ExecutionEvent::kIntend },
    { ExecutionEvent::kDispatch },
    { ExecutionEvent::kDispatch, ExecutionEvent::kPiece },
    { ExecutionEvent::kDispatch, ExecutionEvent::kMustVoid },
    { ExecutionEvent::kGiveUp },
  };
  for (const auto& path : paths) {
    ExecutionStateMachine machine;
    for (const ExecutionEvent event : path) {
      REQUIRE(machine.Apply(event));
    }
    CHECK(machine.Apply(ExecutionEvent::kTurnLost));
    CHECK(machine.State() == ExecutionState::kEnded);
  }
}

} // namespace peridotspool::request
