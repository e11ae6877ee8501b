// ctest-labels: limits unit
#include "peridotspool/limits/WithdrawnUpstreams.h"

#include <catch2/catch.hpp>

#include <iterator>
#include <set>
#include <string>

namespace peridotspool::limits {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const UpstreamName kUpstream("u");
constexpr Incarnation kLife(5);

TimePoint
At(double aSeconds)
{
  return TimePoint(seconds(1000)) + std::chrono::duration_cast<Duration>(
                                      std::chrono::duration<double>(aSeconds));
}

/** Returns the end of the rest, or the begin of the tests if there is none. */
TimePoint
EndOf(const WithdrawnUpstreams& aUpstreams, TimePoint aNow)
{
  return aUpstreams.RestsUntil(kUpstream, kLife, aNow).value_or(At(0));
}

} // namespace

TEST_CASE("ARestLastsAtLeastAsLongAsAskedFor")
{
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    WithdrawnUpstreams upstreams(seed);
    CHECK(upstreams.RecordRest(kUpstream, kLife, seconds(3), At(0)));
    CHECK(EndOf(upstreams, At(0)) >= At(3));
    CHECK(EndOf(upstreams, At(0)) <= At(3.75));
    CHECK(EndOf(upstreams, At(2.999)) >= At(3));
    CHECK_FALSE(upstreams.RestsUntil(kUpstream, kLife, At(3.75)));
  }
}

// Guards against a shorter rest that ends a longer one.
TEST_CASE("AShorterRestWithinALongerOneChangesNothing")
{
  WithdrawnUpstreams upstreams(1);
  upstreams.RecordRest(kUpstream, kLife, seconds(10), At(0));
  const TimePoint end = EndOf(upstreams, At(0));
  CHECK_FALSE(upstreams.RecordRest(kUpstream, kLife, seconds(1), At(2)));
  CHECK(EndOf(upstreams, At(5)) == end);
  CHECK(upstreams.RecordRest(kUpstream, kLife, seconds(10), At(4)));
  CHECK(EndOf(upstreams, At(5)) >= At(14));
}

// Guards against all entries that an upstream turned away at the same time
// returning at the same time.
TEST_CASE("EntriesEndTheSameRestAtDifferentTimes")
{
  std::set<TimePoint> ends;
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    WithdrawnUpstreams upstreams(seed);
    upstreams.RecordRest(kUpstream, kLife, seconds(4), At(0));
    ends.insert(EndOf(upstreams, At(0)));
  }
  CHECK(ends.size() >= 50);
  CHECK(*ends.rbegin() - *ends.begin() >= milliseconds(500));
  for (const TimePoint end : ends) {
    const auto within = std::distance(
      ends.lower_bound(end), ends.lower_bound(end + milliseconds(100)));
    INFO("expected at most a quarter of the entries to return within 0.1 s");
    CHECK(within <= 25);
  }
}

TEST_CASE("AfterARestRequestsAreTriedUntilOneIsAccepted")
{
  WithdrawnUpstreams upstreams(0);
  upstreams.RecordRest(kUpstream, kLife, seconds(2), At(0));
  CHECK_FALSE(upstreams.IsOnTrial(kUpstream, kLife, At(3)));
  upstreams.RecordSent(kUpstream, kLife, At(3));
  CHECK(upstreams.IsOnTrial(kUpstream, kLife, At(3)));
  upstreams.RecordEnded(kUpstream, kLife, At(3));
  CHECK_FALSE(upstreams.IsOnTrial(kUpstream, kLife, At(3.1)));
  upstreams.RecordSent(kUpstream, kLife, At(3.2));
  upstreams.RecordAccepted(kUpstream, kLife, At(3.2));
  CHECK_FALSE(upstreams.IsOnTrial(kUpstream, kLife, At(3.2)));
  CHECK(upstreams.Count() == 0);
}

// Guards against a response to an earlier request that ends a rest.
TEST_CASE("AnAnswerToARequestFromBeforeTheRestDoesNotEndIt")
{
  WithdrawnUpstreams upstreams(0);
  upstreams.RecordRest(kUpstream, kLife, seconds(2), At(0));
  upstreams.RecordAccepted(kUpstream, kLife, At(-1));
  upstreams.RecordEnded(kUpstream, kLife, At(-1));
  CHECK(EndOf(upstreams, At(1)) >= At(2));
}

// Guards against what one process of an upstream asked for being applied to
// the next one under the same name.
TEST_CASE("ARestAndALeaveEndWithTheIncarnation")
{
  WithdrawnUpstreams upstreams(0);
  upstreams.RecordRest(kUpstream, kLife, seconds(20), At(0));
  upstreams.RecordLeaving(kUpstream, kLife, At(0));
  CHECK(upstreams.IsLeaving(kUpstream, kLife));
  CHECK_FALSE(upstreams.IsLeaving(kUpstream, Incarnation(6)));
  CHECK_FALSE(upstreams.RestsUntil(kUpstream, Incarnation(6), At(1)));
  upstreams.OnRestarted(kUpstream, Incarnation(6), At(1));
  CHECK(upstreams.Count() == 0);
  CHECK(upstreams.RecordRest(kUpstream, Incarnation(6), seconds(1), At(2)));
  INFO("expected an outdated statement to change nothing");
  CHECK_FALSE(upstreams.RecordRest(kUpstream, kLife, seconds(9), At(2)));
  CHECK_FALSE(upstreams.RecordLeaving(kUpstream, kLife, At(2)));
  CHECK(upstreams.RestsUntil(kUpstream, Incarnation(6), At(2)));
}

// Guards against losing the rest that a restarted process asks for before its
// first heartbeat is known here.
TEST_CASE("ARestThatTheNextIncarnationAskedForHolds")
{
  WithdrawnUpstreams upstreams(0);
  upstreams.RecordRest(kUpstream, kLife, seconds(20), At(3));
  upstreams.OnRestarted(kUpstream, Incarnation(6), At(2.5));
  CHECK(upstreams.RestsUntil(kUpstream, Incarnation(6), At(4)));
}

TEST_CASE("ALeaveIsFinalAndExpiredRecordsAreRemoved")
{
  WithdrawnUpstreams upstreams(0);
  CHECK(upstreams.RecordLeaving(kUpstream, kLife, At(0)));
  CHECK_FALSE(upstreams.RecordLeaving(kUpstream, kLife, At(1)));
  upstreams.RecordAccepted(kUpstream, kLife, At(2));
  upstreams.RecordRest(UpstreamName("v"), kLife, seconds(2), At(0));
  upstreams.RemoveExpired(At(60));
  CHECK(upstreams.IsLeaving(kUpstream, kLife));
  CHECK(upstreams.Count() == 1);
}

// Guards against memory that grows with every upstream that asks for rest.
TEST_CASE("TheNumberOfRecordsIsBounded")
{
  WithdrawnUpstreams upstreams(0);
  for (int i = 0; i < 20000; ++i) {
    upstreams.RecordRest(
      UpstreamName(std::to_string(i)), kLife, seconds(2), At(0));
  }
  CHECK(upstreams.Count() <= 16384);
}

} // namespace peridotspool::limits
