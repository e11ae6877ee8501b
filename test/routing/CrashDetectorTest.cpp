// ctest-labels: unit
#include "peridotspool/routing/CrashDetector.h"

#include <catch2/catch.hpp>

namespace peridotspool::routing {

namespace {

const UpstreamIncarnation kIncarnation{ .mName = UpstreamName("u1"),
                                        .mIncarnation = Incarnation(7) };
const Address kAddress{ "127.0.0.1", 9000 };

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

LostResponse
Lost(std::uint64_t aContent, int aMs)
{
  return { .mContent = { .mLow = aContent },
           .mSentAt = At(aMs - 50),
           .mLostAt = At(aMs) };
}

} // namespace

TEST_CASE("LostResponseAloneIsNoCrash")
{
  CrashDetector detector;
  CHECK(detector.Lost(kIncarnation, kAddress, Lost(1, 0)) == std::nullopt);
}

TEST_CASE("IncarnationIsProbedOnceForAllLostResponses")
{
  CrashDetector detector;
  CHECK_FALSE(detector.ShouldProbe(kIncarnation, At(0)));
  detector.Lost(kIncarnation, kAddress, Lost(1, 0));
  CHECK(detector.ShouldProbe(kIncarnation, At(0)));
  detector.Lost(kIncarnation, kAddress, Lost(2, 1));
  CHECK_FALSE(detector.ShouldProbe(kIncarnation, At(0)));
}

TEST_CASE("RefusedConnectionShowsTheCrashWithAllLostResponses")
{
  CrashDetector detector;
  detector.Lost(kIncarnation, kAddress, Lost(1, 0));
  detector.Lost(kIncarnation, kAddress, Lost(2, 1));
  const auto crash = detector.Refused(kIncarnation, At(3));
  REQUIRE(crash.has_value());
  CHECK(crash->mUpstream == kIncarnation);
  CHECK(crash->mLost == std::vector{ Lost(1, 0), Lost(2, 1) });
  CHECK(detector.Refused(kIncarnation, At(4)) == std::nullopt);
}

TEST_CASE("ResponseLostAfterAKnownCrashIsReportedAtOnce")
{
  CrashDetector detector;
  CHECK(detector.Refused(kIncarnation, At(0)) == std::nullopt);
  const auto crash = detector.Lost(kIncarnation, kAddress, Lost(1, 5));
  REQUIRE(crash.has_value());
  CHECK(crash->mLost == std::vector{ Lost(1, 5) });
}

TEST_CASE("UpstreamThatAcceptsConnectionsHasNotCrashed")
{
  CrashDetector detector;
  detector.Lost(kIncarnation, kAddress, Lost(1, 0));
  detector.Accepted(kIncarnation);
  CHECK(detector.Refused(kIncarnation, At(3000)) == std::nullopt);
}

TEST_CASE("NewIncarnationAtAnAddressShowsTheCrashOfThePreviousOne")
{
  CrashDetector detector;
  detector.Lost(kIncarnation, kAddress, Lost(1, 0));
  const Address other{ "127.0.0.2", 9000 };
  const UpstreamIncarnation next{ .mName = UpstreamName("u2") };
  CHECK(detector.Announced(next, other, At(100)).empty());
  CHECK(detector.Announced(kIncarnation, kAddress, At(100)).empty());
  SECTION("under another name")
  {
    const auto crash = detector.Announced(next, kAddress, At(200));
    REQUIRE(crash.size() == 1);
    CHECK(crash[0].mUpstream == kIncarnation);
    CHECK(crash[0].mCrashEvidence == CrashEvidence::kNewIncarnation);
  }
  SECTION("under the same name")
  {
    const UpstreamIncarnation again{ .mName = kIncarnation.mName,
                                     .mIncarnation =
                                       kIncarnation.mIncarnation.Next() };
    CHECK(detector.Announced(again, kAddress, At(200)).size() == 1);
  }
}

TEST_CASE("UndecidedCrashExpires")
{
  CrashDetector detector;
  detector.Lost(kIncarnation, kAddress, Lost(1, 0));
  detector.Forget(At(15000));
  CHECK(detector.Refused(kIncarnation, At(15001)) == std::nullopt);
}

// Guards against crashes that are noticed seconds late, when the first probe
// found out nothing.
TEST_CASE("InconclusiveProbeIsRepeatedAFewTimes")
{
  CrashDetector detector;
  detector.Lost(kIncarnation, kAddress, Lost(1, 0));
  CHECK(detector.DueProbes(At(1000)).empty());
  REQUIRE(detector.ShouldProbe(kIncarnation, At(0)));
  CHECK(detector.DueProbes(At(500)).empty());
  int probes = 0;
  for (int now = 600; now < 10000; now += 50) {
    probes += static_cast<int>(detector.DueProbes(At(now)).size());
  }
  CHECK(probes == 4);
}

TEST_CASE("ResponseThatSeemedCompleteWasCompleteIfTheUpstreamIsAlive")
{
  CrashDetector detector;
  LostResponse response = Lost(1, 0);
  response.mSeemedComplete = true;
  detector.Lost(kIncarnation, kAddress, response);
  detector.Lost(kIncarnation, kAddress, Lost(2, 0));
  CHECK(detector.Accepted(kIncarnation) == std::vector{ response });
  CHECK(detector.Refused(kIncarnation, At(10)) == std::nullopt);
}

TEST_CASE("ResponseThatSeemedCompleteIsLostToACrashRightAfterIt")
{
  CrashDetector detector;
  LostResponse response = Lost(1, 0);
  response.mSeemedComplete = true;
  detector.Lost(kIncarnation, kAddress, response);
  SECTION("right after it")
  {
    const auto crash = detector.Refused(kIncarnation, At(500));
    REQUIRE(crash.has_value());
    CHECK(crash->mLost == std::vector{ response });
  }
  SECTION("but not to a later one")
  {
    CHECK(detector.Refused(kIncarnation, At(2500)) == std::nullopt);
  }
}

} // namespace peridotspool::routing
