// ctest-labels: unit
#include "peridotspool/gateway/LoadShedding.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

using std::chrono::milliseconds;

/** Base case for the tests: a prompt expected half a second too late. */
FirstEventEstimate
Late()
{
  return { .mExpectedFirstEvent = milliseconds(1500),
           .mObjective = milliseconds(1000),
           .mPromptTokens = 17000,
           .mLoadKnown = true,
           .mFullness = 1.0 };
}

} // namespace

TEST_CASE("ALatePromptGetsTheRetryAfterAtWhichItWouldBeOnTime")
{
  CHECK(RetryAfterIfLate(Late()) == milliseconds(500));
  FirstEventEstimate hardly = Late();
  hardly.mExpectedFirstEvent = milliseconds(1001);
  CHECK(RetryAfterIfLate(hardly) == milliseconds(200));
}

TEST_CASE("APromptThatMayBeOnTimeIsServed")
{
  FirstEventEstimate inTime = Late();
  inTime.mExpectedFirstEvent = inTime.mObjective;
  CHECK_FALSE(RetryAfterIfLate(inTime));
  FirstEventEstimate unheard = Late();
  unheard.mLoadKnown = false;
  CHECK_FALSE(RetryAfterIfLate(unheard));
  FirstEventEstimate withoutObjective = Late();
  withoutObjective.mObjective = Duration(0);
  CHECK_FALSE(RetryAfterIfLate(withoutObjective));
  FirstEventEstimate small = Late();
  small.mPromptTokens = 1400;
  CHECK_FALSE(RetryAfterIfLate(small));
  FirstEventEstimate roomLeft = Late();
  roomLeft.mFullness = 0.4;
  CHECK_FALSE(RetryAfterIfLate(roomLeft));
}

} // namespace peridotspool::gateway
