// ctest-labels: unit
#include "request/Life.h"

#include <catch2/catch.hpp>

namespace peridotspool::request {

TEST_CASE("RequestThatRunsOnceIsSentOnlyAfterItsIntent")
{
  Life life;
  REQUIRE(life.Take(LifeEvent::kIntend));
  CHECK(life.State() == LifeState::kIntending);
  CHECK_FALSE(life.Take(LifeEvent::kPiece));
  CHECK(life.State() == LifeState::kIntending);
  REQUIRE(life.Take(LifeEvent::kDispatch));
  CHECK(life.State() == LifeState::kDispatched);
}

TEST_CASE("NothingHappensAfterTheEnd")
{
  Life life;
  REQUIRE(life.Take(LifeEvent::kGiveUp));
  REQUIRE(life.Take(LifeEvent::kFinishCommitted));
  for (const LifeEvent event : { LifeEvent::kDispatch,
                                 LifeEvent::kPiece,
                                 LifeEvent::kComplete,
                                 LifeEvent::kRetry,
                                 LifeEvent::kGiveUp,
                                 LifeEvent::kTurnLost }) {
    CHECK_FALSE(life.Take(event));
    CHECK(life.State() == LifeState::kEnded);
  }
}

TEST_CASE("LostTurnEndsARequestInEveryLiveState")
{
  const std::vector<std::vector<LifeEvent>> paths{
    {},
    { LifeEvent::kIntend },
    { LifeEvent::kDispatch },
    { LifeEvent::kDispatch, LifeEvent::kPiece },
    { LifeEvent::kDispatch, LifeEvent::kMustVoid },
    { LifeEvent::kGiveUp },
  };
  for (const auto& path : paths) {
    Life life;
    for (const LifeEvent event : path) {
      REQUIRE(life.Take(event));
    }
    CHECK(life.Take(LifeEvent::kTurnLost));
    CHECK(life.State() == LifeState::kEnded);
  }
}

} // namespace peridotspool::request
