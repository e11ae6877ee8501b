// ctest-labels: unit limits
#include "peridotspool/gateway/UpstreamSelector.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

namespace peridotspool::gateway {

namespace {

using membership::KnownUpstream;
using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService("s");
const SelectionQuery kQuery{ .mService = kService };
constexpr std::size_t kMany = 200;

TimePoint
At(int aMs)
{
  return TimePoint(seconds(1000) + milliseconds(aMs));
}

UpstreamName
Name(int aNumber)
{
  return UpstreamName("u" + std::to_string(aNumber));
}

KnownUpstream
Known(int aNumber, std::uint64_t aIncarnation = 1, int aSinceMs = 0)
{
  return { .mReport = { .mName = Name(aNumber),
                        .mIncarnation = Incarnation(aIncarnation),
                        .mService = kService,
                        .mAddress = { "127.0.0.1", 1 },
                        .mSlots = 4 },
           .mSince = At(aSinceMs) };
}

UpstreamSelector
MakeSelector(int aCount)
{
  UpstreamSelector selector({});
  for (int i = 0; i < aCount; ++i) {
    const KnownUpstream known = Known(i);
    selector.Update(known.mReport.mName, &known, At(0));
  }
  return selector;
}

void
Rest(UpstreamSelector& aSelector, int aNumber, Duration aRest, int aAtMs = 0)
{
  aSelector.Withdrawn().RecordRest(
    Name(aNumber), Incarnation(1), aRest, At(aAtMs));
}

/** Returns the upstreams that requests with different seeds are sent to. */
std::set<UpstreamName>
Chosen(const UpstreamSelector& aSelector, int aAtMs)
{
  std::set<UpstreamName> chosen;
  for (std::uint64_t seed = 1; seed <= kMany; ++seed) {
    SelectionQuery query = kQuery;
    query.mSeed = seed;
    if (const auto choice = aSelector.Choose(query, At(aAtMs))) {
      chosen.insert(choice->mName);
    }
  }
  return chosen;
}

} // namespace

TEST_CASE("AnUpstreamThatRestsIsNotChosenUntilTheEnd")
{
  UpstreamSelector selector = MakeSelector(3);
  Rest(selector, 1, seconds(2));
  CHECK(Chosen(selector, 0) == std::set{ Name(0), Name(2) });
  CHECK(Chosen(selector, 1999) == std::set{ Name(0), Name(2) });
  CHECK(Chosen(selector, 2600).contains(Name(1)));
  CHECK_FALSE(selector.MayReceive(Name(1), Incarnation(1), At(1000)));
  CHECK(selector.MayReceive(Name(1), Incarnation(1), At(2600)));
}

// Guards against a rest that counts as a failure, and against a resting
// upstream that is tried because all others are ejected.
TEST_CASE("ARestIsNoEjection")
{
  UpstreamSelector selector = MakeSelector(2);
  Rest(selector, 0, seconds(2));
  CHECK(selector.ReadyCount(kService, At(0)) == 2);
  CHECK(selector.IsReady(Name(0)));
  const auto choice = selector.Choose(kQuery, At(0));
  REQUIRE(choice);
  const SentRequest sent = selector.RecordSent(*choice, At(0));
  selector.RecordEnd(sent, SendResult::kBroken, At(1));
  CHECK(Chosen(selector, 10) == std::set{ Name(1) });
}

TEST_CASE("TheFirstEndCountsWhenAllUpstreamsRest")
{
  UpstreamSelector selector = MakeSelector(2);
  Rest(selector, 0, seconds(9));
  CHECK_FALSE(selector.AllRestUntil(kQuery, At(0)));
  Rest(selector, 1, seconds(2));
  CHECK_FALSE(selector.Choose(kQuery, At(0)));
  const auto until = selector.AllRestUntil(kQuery, At(0));
  REQUIRE(until);
  CHECK(*until >= At(2000));
  CHECK(*until <= At(2500));
  SelectionQuery other = kQuery;
  other.mService = ServiceName("t");
  CHECK_FALSE(selector.AllRestUntil(other, At(0)));
}

// Guards against a rest that is lost with the directory's row, when an entry is
// cut off from control and learns of its upstreams anew.
TEST_CASE("ARestOutlastsTheDirectorysKnowledge")
{
  UpstreamSelector selector = MakeSelector(1);
  Rest(selector, 0, seconds(4));
  selector.Withdrawn().RecordLeaving(Name(1), Incarnation(1), At(0));
  selector.Update(Name(0), nullptr, At(100));
  const KnownUpstream again = Known(0);
  const KnownUpstream leaving = Known(1);
  selector.Update(Name(0), &again, At(200));
  selector.Update(Name(1), &leaving, At(200));
  CHECK(Chosen(selector, 300).empty());
}

// Guards against what one process asked for being applied to the next one at
// the same address.
TEST_CASE("ANewIncarnationOfARestingUpstreamIsChosenAtOnce")
{
  UpstreamSelector selector = MakeSelector(1);
  Rest(selector, 0, seconds(20));
  selector.Withdrawn().RecordLeaving(Name(0), Incarnation(1), At(0));
  const KnownUpstream next = Known(0, 2, 500);
  CHECK(selector.Update(Name(0), &next, At(700)));
  CHECK(Chosen(selector, 700) == std::set{ Name(0) });
}

TEST_CASE("AnUpstreamThatStatesThatItLeavesIsNeverChosenAgain")
{
  UpstreamSelector selector = MakeSelector(2);
  selector.Withdrawn().RecordLeaving(Name(0), Incarnation(1), At(0));
  CHECK(Chosen(selector, 3600 * 1000) == std::set{ Name(1) });
  CHECK(selector.ReadyCount(kService, At(0)) == 1);
  CHECK_FALSE(selector.ReadyAddress(Name(0), Incarnation(1)));
}

// Guards against all requests of an entry going to an upstream as soon as its
// rest is over, as it looks idle.
TEST_CASE("AfterARestOneRequestAtATimeIsTried")
{
  UpstreamSelector selector = MakeSelector(2);
  Rest(selector, 0, seconds(2));
  SelectionQuery query = kQuery;
  query.mTried.insert(Name(1));
  const auto trial = selector.Choose(query, At(3000));
  REQUIRE(trial);
  const SentRequest sent = selector.RecordSent(*trial, At(3000));
  CHECK(Chosen(selector, 3001) == std::set{ Name(1) });
  INFO("expected a request that can't go elsewhere to be sent all the same");
  CHECK(selector.Choose(query, At(3001)));
  selector.RecordAccepted(sent);
  selector.RecordEnd(sent, SendResult::kAnswered, At(3001));
  CHECK(Chosen(selector, 3002).contains(Name(0)));
}

TEST_CASE("ARequestThatWasNeverSentEndsTheTrialWithoutBlame")
{
  UpstreamSelector selector = MakeSelector(1);
  Rest(selector, 0, seconds(2));
  const auto trial = selector.Choose(kQuery, At(3000));
  REQUIRE(trial);
  const SentRequest sent = selector.RecordSent(*trial, At(3000));
  CHECK_FALSE(selector.RecordEnd(sent, SendResult::kNotSent, At(3010)));
  CHECK(selector.InFlight(Name(0)) == 0);
  CHECK(selector.ReadyCount(kService, At(3010)) == 1);
  CHECK_FALSE(
    selector.Withdrawn().IsOnTrial(Name(0), Incarnation(1), At(3010)));
}

} // namespace peridotspool::gateway
