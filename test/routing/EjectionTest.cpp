// ctest-labels: unit
#include "routing/RoutingFixture.h"

#include <catch2/catch.hpp>

namespace peridotspool::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Ten upstreams whose leases are renewed as needed. */
class EjectionFixture
{
public:
  EjectionFixture() { Renew(); }

  void Renew()
  {
    ++mSequence;
    for (int at = 0; at < 10; ++at) {
      mRouter.Announce(Announcement(Name(at), mSequence), mNow);
    }
  }
  void Wait(Duration aTime)
  {
    mNow += aTime;
    Renew();
    mRouter.Tick(mNow);
  }
  void RunAttempt(int aUpstream, AttemptEnd aEnd, Duration aTook)
  {
    const UpstreamName name(Name(aUpstream));
    mRouter.Sent(name, Query(), mNow);
    mRouter.Ended(name, aEnd, mNow + aTook);
  }
  /** Returns how many different upstreams are chosen until none is left. */
  std::size_t CountChoosable()
  {
    RouteQuery query = Query();
    std::size_t found = 0;
    for (;; ++found) {
      const std::string name = Chosen(mRouter, query, mNow);
      if (name.empty()) {
        return found;
      }
      query.mAvoid.emplace_back(name);
    }
  }
  static std::string Name(int aAt) { return "u" + std::to_string(aAt); }

  Router mRouter{ {} };
  TimePoint mNow = kStart;
  std::uint64_t mSequence = 0;
};

} // namespace

TEST_CASE_METHOD(EjectionFixture, "FailingUpstreamIsEjectedAndReadmitted")
{
  for (int at = 0; at < 3; ++at) {
    CHECK(CountChoosable() == 10);
    RunAttempt(0, AttemptEnd::kFailed, milliseconds(1));
  }
  CHECK(CountChoosable() == 9);
  CHECK(mRouter.Ejections() == 1);
  Wait(seconds(2));
  CHECK(CountChoosable() == 9);
  Wait(milliseconds(1));
  CHECK(CountChoosable() == 10);
}

TEST_CASE_METHOD(EjectionFixture, "RepeatedEjectionsLastLonger")
{
  for (int at = 0; at < 3; ++at) {
    RunAttempt(0, AttemptEnd::kTimedOut, milliseconds(1));
  }
  Wait(milliseconds(2001));
  REQUIRE(CountChoosable() == 10);
  RunAttempt(0, AttemptEnd::kTimedOut, milliseconds(1));
  CHECK(CountChoosable() == 9);
  Wait(seconds(4));
  CHECK(CountChoosable() == 9);
  Wait(milliseconds(1));
  CHECK(CountChoosable() == 10);
}

// Guards against overloading the last upstream when a shared cause makes all
// upstreams of a service fail. It happens if each failing upstream is ejected,
// whatever the state of the others.
TEST_CASE_METHOD(EjectionFixture, "OnlyAShareOfUpstreamsIsEjected")
{
  for (int at = 0; at < 10; ++at) {
    for (int failure = 0; failure < 5; ++failure) {
      RunAttempt(at, AttemptEnd::kFailed, milliseconds(1));
    }
  }
  CHECK(CountChoosable() == 7);
}

TEST_CASE_METHOD(EjectionFixture, "SlowUpstreamIsEjected")
{
  for (int round = 0; round < 20; ++round) {
    for (int at = 1; at < 10; ++at) {
      RunAttempt(at, AttemptEnd::kCompleted, milliseconds(100));
    }
  }
  for (int round = 0; round < 8; ++round) {
    CHECK(CountChoosable() == 10);
    RunAttempt(0, AttemptEnd::kCompleted, seconds(3));
    for (int at = 1; at < 10; ++at) {
      RunAttempt(at, AttemptEnd::kCompleted, milliseconds(100));
    }
  }
  CHECK(CountChoosable() == 9);
}

TEST_CASE_METHOD(EjectionFixture, "CancelledRequestsDoNotEject")
{
  for (int at = 0; at < 50; ++at) {
    RunAttempt(0, AttemptEnd::kCancelled, milliseconds(1));
  }
  CHECK(CountChoosable() == 10);
}

} // namespace peridotspool::routing
