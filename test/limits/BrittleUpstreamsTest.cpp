// ctest-labels: unit
#include "peridotspool/limits/BrittleUpstreams.h"
#include "peridotspool/limits/PermitTiming.h"

#include <catch2/catch.hpp>

namespace peridotspool::limits {

namespace {

const UpstreamName kUpstream("u");
constexpr Incarnation kFirst(1);
constexpr std::size_t kSlots = 10;

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

BrittleState
Stated(std::uint32_t aMaxRejections, Incarnation aIncarnation = kFirst)
{
  return { .mUpstream = kUpstream,
           .mIncarnation = aIncarnation,
           .mMaxRejections = aMaxRejections };
}

Duration
ClosedFor(const BrittleUpstreams& aUpstreams, int aMs)
{
  const auto state = aUpstreams.StateOf(kUpstream, At(aMs));
  REQUIRE(state);
  return std::chrono::milliseconds(state->mClosedMs);
}

} // namespace

TEST_CASE("OnlyOnePositiveNumberIsAStatement")
{
  CHECK(ParseMaxRejections({ "12" }) == 12U);
  for (const char* text :
       { "", "0", "-1", "1.5", "many", "1,2", "99999999999" }) {
    INFO("expected no statement in '" << text << "'");
    CHECK(ParseMaxRejections({ text }) == std::nullopt);
  }
  CHECK(ParseMaxRejections({}) == std::nullopt);
  CHECK(ParseMaxRejections({ "1", "1" }) == std::nullopt);
}

TEST_CASE("AStatementLapsesUnlessItIsRepeated")
{
  BrittleUpstreams upstreams;
  CHECK(upstreams.Apply(Stated(4), At(0)));
  CHECK_FALSE(upstreams.Apply(Stated(4), At(1000)));
  CHECK(upstreams.StateOf(kUpstream, At(5999)));
  CHECK_FALSE(upstreams.StateOf(kUpstream, At(6000)));
  upstreams.RemoveExpired(At(6000));
  CHECK(upstreams.Count() == 0);
}

TEST_CASE("StatementsOfAnEarlierIncarnationAreIgnored")
{
  BrittleUpstreams upstreams;
  upstreams.Apply(Stated(4, Incarnation(2)), At(0));
  upstreams.RecordRejection(kUpstream, At(0));
  CHECK_FALSE(upstreams.Apply(Stated(9), At(10)));
  CHECK(upstreams.StateOf(kUpstream, At(10))->mMaxRejections == 4);
  upstreams.Apply(Stated(5, Incarnation(3)), At(20));
  CHECK(ClosedFor(upstreams, 20) == Duration(0));
}

// Guards against permits for more requests than an upstream has room for.
TEST_CASE("PermitsLeaveRoomAtTheUpstream")
{
  BrittleUpstreams upstreams;
  const auto grant = [&](std::size_t aRunning, int aMs) {
    return upstreams.TryGrant(kUpstream, kFirst, aRunning, kSlots, At(aMs));
  };
  for (std::size_t i = 0; i < 5; ++i) {
    CHECK(grant(4, 0));
  }
  CHECK_FALSE(grant(4, 0));
  upstreams.EndGrant(kUpstream);
  CHECK_FALSE(grant(5, 1));
  CHECK(grant(4, 1));
  // Those that nobody reports any more have expired.
  const int expired = static_cast<int>(
    std::chrono::duration_cast<std::chrono::milliseconds>(kPermitLifetime)
      .count());
  CHECK(grant(8, expired + 1));
}

TEST_CASE("AnUpstreamWithOneSlotGetsOneRequest")
{
  BrittleUpstreams upstreams;
  CHECK(upstreams.TryGrant(kUpstream, kFirst, 0, 1, At(0)));
  CHECK_FALSE(upstreams.TryGrant(kUpstream, kFirst, 0, 1, At(0)));
}

// Guards against an upstream that falls over because entries go on after its
// rejections.
TEST_CASE("RejectionsCloseAnUpstreamForAWhile")
{
  BrittleUpstreams upstreams;
  upstreams.Apply(Stated(4), At(0));
  upstreams.RecordRejection(kUpstream, At(0));
  CHECK(ClosedFor(upstreams, 0) == std::chrono::milliseconds(200));
  CHECK_FALSE(upstreams.TryGrant(kUpstream, kFirst, 0, kSlots, At(199)));
  CHECK(upstreams.TryGrant(kUpstream, kFirst, 0, kSlots, At(200)));
  upstreams.RecordRejection(kUpstream, At(500));
  // Half of what it survives is reached, until the first is a second old.
  CHECK(ClosedFor(upstreams, 500) == std::chrono::milliseconds(500));
}

TEST_CASE("AnEntryKeepsToTheCoordinatorsClosing")
{
  BrittleUpstreams upstreams;
  BrittleState state = Stated(4);
  state.mClosedMs = 300;
  upstreams.Apply(state, At(0));
  CHECK(ClosedFor(upstreams, 100) == std::chrono::milliseconds(200));
}

} // namespace peridotspool::limits
