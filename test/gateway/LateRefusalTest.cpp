// ctest-labels: unit
#include "peridotspool/gateway/LateRefusal.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

using std::chrono::milliseconds;

/** A prompt that is half a second too late, to be changed. */
StartOutlook
Late()
{
  return { .mExpected = milliseconds(1500),
           .mObjective = milliseconds(1000),
           .mPrompt = 17000,
           .mHeard = true,
           .mFullness = 1.0 };
}

} // namespace

TEST_CASE("WhoWouldBeLateIsToldWhenItWouldNotBe")
{
  CHECK(ComeBackIn(Late()) == milliseconds(500));
  StartOutlook hardly = Late();
  hardly.mExpected = milliseconds(1001);
  CHECK(ComeBackIn(hardly) == milliseconds(200));
}

TEST_CASE("WhatMayBeInTimeIsServed")
{
  StartOutlook inTime = Late();
  inTime.mExpected = inTime.mObjective;
  CHECK_FALSE(ComeBackIn(inTime));
  StartOutlook unheard = Late();
  unheard.mHeard = false;
  CHECK_FALSE(ComeBackIn(unheard));
  StartOutlook withoutObjective = Late();
  withoutObjective.mObjective = Duration(0);
  CHECK_FALSE(ComeBackIn(withoutObjective));
  StartOutlook small = Late();
  small.mPrompt = 1400;
  CHECK_FALSE(ComeBackIn(small));
  StartOutlook roomLeft = Late();
  roomLeft.mFullness = 0.4;
  CHECK_FALSE(ComeBackIn(roomLeft));
}

} // namespace peridotspool::gateway
