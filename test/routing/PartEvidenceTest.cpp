// ctest-labels: unit
#include "peridotspool/routing/PartEvidence.h"

#include <catch2/catch.hpp>

#include <string>

namespace peridotspool::routing {

namespace {

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

PartCrash
Crash(int aUpstream, int aSentMs, int aLostMs, const char* aCustomer = "c")
{
  return { .mUpstream = { .mName =
                            UpstreamName("u" + std::to_string(aUpstream)) },
           .mCustomer = CustomerName(aCustomer),
           .mSentAt = At(aSentMs),
           .mLostAt = At(aLostMs) };
}

} // namespace

TEST_CASE("EachIncarnationCountsOnce")
{
  PartEvidence evidence;
  CHECK(evidence.Add(Crash(1, 0, 100)));
  CHECK_FALSE(evidence.Add(Crash(1, 500, 600)));
  CHECK(evidence.CountConsecutive({}) == 1);
}

TEST_CASE("OnlyRunsSentAfterThePreviousCrashCount")
{
  PartEvidence evidence;
  evidence.Add(Crash(1, 0, 100));
  evidence.Add(Crash(2, 50, 150));
  evidence.Add(Crash(3, 1000, 1100));
  CHECK(evidence.CountConsecutive({}) == 2);
  CHECK(evidence.CountConsecutive({ Crash(3, 0, 0).mUpstream }) == 1);
}

TEST_CASE("AnswerDropsTheCrashesBeforeIt")
{
  PartEvidence evidence;
  evidence.Add(Crash(1, 0, 100));
  evidence.Add(Crash(2, 1000, 1100));
  evidence.DropBefore(At(600));
  CHECK(evidence.Crashes().size() == 1);
  evidence.DropBefore(At(1100));
  CHECK(evidence.IsEmpty());
}

TEST_CASE("CommittedCrashesCountAsCommitted")
{
  PartEvidence evidence(
    { Crash(1, 0, 0), Crash(2, 0, 0), Crash(3, 0, 0) }, 2, At(5000));
  CHECK(evidence.CountConsecutive({}) == 2);
  evidence.Add(Crash(4, 4000, 4100));
  CHECK(evidence.CountConsecutive({}) == 2);
  evidence.Add(Crash(5, 6000, 6100));
  CHECK(evidence.CountConsecutive({}) == 3);
}

// Guards against crashes that an answer came after and that a new leader can't
// clear, as it doesn't know their times.
TEST_CASE("RepeatedReportGivesACommittedCrashItsTimes")
{
  PartEvidence evidence({ Crash(1, 0, 0) }, 1, At(5000));
  evidence.DropBefore(At(3000));
  CHECK(evidence.Crashes().size() == 1);
  CHECK(evidence.Add(Crash(1, 1000, 1100)));
  evidence.DropBefore(At(3000));
  CHECK(evidence.IsEmpty());
}

TEST_CASE("CustomersAreNamedOnceAndAtMostTwo")
{
  PartEvidence evidence;
  evidence.Add(Crash(1, 0, 100, "a"));
  evidence.Add(Crash(2, 1000, 1100, "a"));
  CHECK(evidence.Customers() == std::vector{ CustomerName("a") });
  evidence.Add(Crash(3, 2000, 2100, "b"));
  evidence.Add(Crash(4, 3000, 3100, "c"));
  CHECK(evidence.Customers().size() == 2);
}

} // namespace peridotspool::routing
