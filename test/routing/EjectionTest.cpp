// ctest-labels: unit
#include "routing/RoutingFixture.h"

#include <catch2/catch.hpp>

namespace peridotspool::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Ten upstreams; renewing them keeps their leases. */
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
  void Try(int aUpstream, AttemptEnd aEnd, Duration aTook)
  {
    const UpstreamName name(Name(aUpstream));
    mRouter.Sent(name, Query(), mNow);
    mRouter.Ended(name, aEnd, mNow + aTook);
  }
  /** How many upstreams a long look finds. */
  std::size_t Choosable()
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

TEST_CASE_METHOD(EjectionFixture, "FailingUpstreamIsEjectedAndComesBack")
{
  for (int at = 0; at < 3; ++at) {
    CHECK(Choosable() == 10);
    Try(0, AttemptEnd::kFailed, milliseconds(1));
  }
  CHECK(Choosable() == 9);
  CHECK(mRouter.Ejections() == 1);
  Wait(seconds(2));
  CHECK(Choosable() == 9);
  Wait(milliseconds(1));
  CHECK(Choosable() == 10);
}

TEST_CASE_METHOD(EjectionFixture, "EjectionsThatFollowSoonLastLonger")
{
  for (int at = 0; at < 3; ++at) {
    Try(0, AttemptEnd::kTimedOut, milliseconds(1));
  }
  Wait(milliseconds(2001));
  REQUIRE(Choosable() == 10);
  Try(0, AttemptEnd::kTimedOut, milliseconds(1));
  CHECK(Choosable() == 9);
  Wait(seconds(4));
  CHECK(Choosable() == 9);
  Wait(milliseconds(1));
  CHECK(Choosable() == 10);
}

// Symptom: when a shared cause makes every upstream fail, the last one gets
// everything and goes down too.
// Sequence: all upstreams of a service fail a few times in a row.
// Cause: ejecting each failing upstream whatever the others do.
TEST_CASE_METHOD(EjectionFixture, "AtMostAShareIsEjected")
{
  for (int at = 0; at < 10; ++at) {
    for (int failure = 0; failure < 5; ++failure) {
      Try(at, AttemptEnd::kFailed, milliseconds(1));
    }
  }
  CHECK(Choosable() == 7);
}

TEST_CASE_METHOD(EjectionFixture, "SlowUpstreamIsEjected")
{
  for (int round = 0; round < 20; ++round) {
    for (int at = 1; at < 10; ++at) {
      Try(at, AttemptEnd::kCompleted, milliseconds(100));
    }
  }
  for (int round = 0; round < 8; ++round) {
    CHECK(Choosable() == 10);
    Try(0, AttemptEnd::kCompleted, seconds(3));
    for (int at = 1; at < 10; ++at) {
      Try(at, AttemptEnd::kCompleted, milliseconds(100));
    }
  }
  CHECK(Choosable() == 9);
}

TEST_CASE_METHOD(EjectionFixture, "CancelledRequestsSayNothingOfTheUpstream")
{
  for (int at = 0; at < 50; ++at) {
    Try(0, AttemptEnd::kCancelled, milliseconds(1));
  }
  CHECK(Choosable() == 10);
}

} // namespace peridotspool::routing
