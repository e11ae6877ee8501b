// ctest-labels: unit
#include "peridotspool/membership/ContactHistory.h"

#include <catch2/catch.hpp>

namespace peridotspool::membership {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ seconds(1000) };

/** Confirms every 200 ms from aFrom to aTo after the start. */
void
Confirm(ContactHistory& aHistory, Duration aFrom, Duration aTo)
{
  for (Duration at = aFrom; at <= aTo; at += milliseconds(200)) {
    aHistory.RecordConfirmation(kStart + at);
  }
}

} // namespace

TEST_CASE("NothingIsCoveredWithoutAConfirmation")
{
  ContactHistory history;
  history.RecordConfirmation(std::nullopt);
  CHECK_FALSE(history.Covers(Duration(0), kStart));
}

TEST_CASE("APeriodIsCoveredOnceContactHasLastedForIt")
{
  ContactHistory history;
  Confirm(history, seconds(0), seconds(59));
  CHECK(history.Covers(seconds(59), kStart + seconds(59)));
  CHECK_FALSE(history.Covers(seconds(60), kStart + seconds(59)));
  Confirm(history, seconds(59), seconds(60));
  CHECK(history.Covers(seconds(60), kStart + seconds(60)));
}

// Guards against an entry that is cut off and takes what it knew for what is.
TEST_CASE("NothingIsCoveredWhileConfirmationsAreMissing")
{
  ContactHistory history;
  Confirm(history, seconds(0), seconds(80));
  CHECK(history.Covers(seconds(60), kStart + milliseconds(81900)));
  CHECK_FALSE(history.Covers(seconds(60), kStart + seconds(82)));
}

// Guards against an entry that is in contact again and hasn't been told yet
// what happened meanwhile.
TEST_CASE("NothingIsCoveredRightAfterAShortGap")
{
  ContactHistory history;
  Confirm(history, seconds(0), seconds(80));
  Confirm(history, seconds(86), seconds(88));
  CHECK_FALSE(history.Covers(seconds(60), kStart + seconds(88)));
  Confirm(history, seconds(88), seconds(90));
  CHECK(history.Covers(seconds(60), kStart + seconds(90)));
}

// Guards against an entry that missed all of what came and went.
TEST_CASE("ALongGapBeginsAnew")
{
  ContactHistory history;
  Confirm(history, seconds(0), seconds(80));
  Confirm(history, seconds(100), seconds(159));
  CHECK_FALSE(history.Covers(seconds(60), kStart + seconds(159)));
  Confirm(history, seconds(159), seconds(160));
  CHECK(history.Covers(seconds(60), kStart + seconds(160)));
}

} // namespace peridotspool::membership
