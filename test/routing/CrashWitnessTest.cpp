// ctest-labels: unit
#include "peridotspool/routing/CrashWitness.h"

#include <catch2/catch.hpp>

namespace peridotspool::routing {

namespace {

const UpstreamLife kLife{ .mName = UpstreamName("u1"),
                          .mIncarnation = Incarnation(7) };
const Address kAddress{ "127.0.0.1", 9000 };

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

LostAnswer
Lost(std::uint64_t aContent, int aMs)
{
  return { .mContent = { .mLow = aContent },
           .mSentAt = At(aMs - 50),
           .mLostAt = At(aMs) };
}

} // namespace

TEST_CASE("ALostAnswerAloneShowsNoEnd")
{
  CrashWitness witness;
  CHECK(witness.Lost(kLife, kAddress, Lost(1, 0)) == std::nullopt);
}

TEST_CASE("ALifeIsProbedOnceForAllAnswersThatItLost")
{
  CrashWitness witness;
  CHECK_FALSE(witness.ShouldProbe(kLife));
  witness.Lost(kLife, kAddress, Lost(1, 0));
  CHECK(witness.ShouldProbe(kLife));
  witness.Lost(kLife, kAddress, Lost(2, 1));
  CHECK_FALSE(witness.ShouldProbe(kLife));
}

TEST_CASE("ARefusedConnectionShowsTheEndWithAllThatWasLost")
{
  CrashWitness witness;
  witness.Lost(kLife, kAddress, Lost(1, 0));
  witness.Lost(kLife, kAddress, Lost(2, 1));
  const auto ended = witness.Refused(kLife, At(3));
  REQUIRE(ended.has_value());
  CHECK(ended->mLife == kLife);
  CHECK(ended->mLost == std::vector{ Lost(1, 0), Lost(2, 1) });
  CHECK(witness.Refused(kLife, At(4)) == std::nullopt);
}

TEST_CASE("WhatAnEndedLifeLosesLaterIsKnownAtOnce")
{
  CrashWitness witness;
  CHECK(witness.Refused(kLife, At(0)) == std::nullopt);
  const auto ended = witness.Lost(kLife, kAddress, Lost(1, 5));
  REQUIRE(ended.has_value());
  CHECK(ended->mLost == std::vector{ Lost(1, 5) });
}

TEST_CASE("AnUpstreamThatGoesOnHasNotEnded")
{
  CrashWitness witness;
  witness.Lost(kLife, kAddress, Lost(1, 0));
  witness.Accepted(kLife);
  CHECK(witness.Refused(kLife, At(3000)) == std::nullopt);
}

TEST_CASE("TheNextLifeAtAnAddressShowsTheEndOfTheOneBefore")
{
  CrashWitness witness;
  witness.Lost(kLife, kAddress, Lost(1, 0));
  const Address other{ "127.0.0.2", 9000 };
  const UpstreamLife next{ .mName = UpstreamName("u2") };
  CHECK(witness.Announced(next, other, At(100)).empty());
  CHECK(witness.Announced(kLife, kAddress, At(100)).empty());
  SECTION("under another name")
  {
    const auto ended = witness.Announced(next, kAddress, At(200));
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].mLife == kLife);
    CHECK(ended[0].mShownBy == EndShownBy::kNextLife);
  }
  SECTION("under the same name")
  {
    const UpstreamLife again{ .mName = kLife.mName,
                              .mIncarnation = kLife.mIncarnation.Next() };
    CHECK(witness.Announced(again, kAddress, At(200)).size() == 1);
  }
}

TEST_CASE("AQuestionThatNobodyAnswersIsForgotten")
{
  CrashWitness witness;
  witness.Lost(kLife, kAddress, Lost(1, 0));
  witness.Forget(At(15000));
  CHECK(witness.Refused(kLife, At(15001)) == std::nullopt);
}

} // namespace peridotspool::routing
