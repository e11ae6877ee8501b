// ctest-labels: unit
#include "peridotspool/routing/QuarantineGate.h"

#include <catch2/catch.hpp>

namespace peridotspool::routing {

namespace {

const ContentId kContent{ .mLow = 1 };
constexpr Duration kTimeLeft = std::chrono::seconds(4);

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

QuarantineUpdate
Update(std::uint64_t aFrom, std::uint64_t aTo, QuarantineStage aStage)
{
  return { .mFrom = aFrom,
           .mTo = aTo,
           .mLines = { { .mContent = kContent, .mStage = aStage } } };
}

QuarantineGate
GateWithOneAtATime()
{
  QuarantineGate gate;
  gate.ApplyUpdate(Update(0, 2, QuarantineStage::kOneAtATime), At(0));
  return gate;
}

} // namespace

TEST_CASE("UnlistedContentsRun")
{
  QuarantineGate gate;
  CHECK_FALSE(gate.HasTable());
  CHECK(gate.Check(kContent, kTimeLeft, At(0)).mOutcome ==
        GateOutcome::kAllowed);
  gate.ApplyUpdate(QuarantineUpdate{ .mFrom = 0, .mTo = 1 }, At(0));
  CHECK(gate.HasTable());
  CHECK(gate.Check(kContent, kTimeLeft, At(0)).mOutcome ==
        GateOutcome::kAllowed);
}

TEST_CASE("RefusedContentsAreRefusedAtOnce")
{
  QuarantineGate gate;
  gate.ApplyUpdate(Update(0, 4, QuarantineStage::kRefused), At(0));
  CHECK(gate.Check(kContent, kTimeLeft, At(0)).mOutcome ==
        GateOutcome::kRefused);
  CHECK(gate.ListedCount() == 1);
}

TEST_CASE("OneAtATimeContentRunsWhenThePermitIsGranted")
{
  QuarantineGate gate = GateWithOneAtATime();
  const GateResult result = gate.Check(kContent, kTimeLeft, At(0));
  REQUIRE(result.mOutcome == GateOutcome::kWaitsForPermit);
  CHECK(result.mPermitRequest.mContent == kContent);
  CHECK(result.mPermitRequest.mForMs == 4000);
  CHECK(gate.OnPermitResponse(PermitResponse{ result.mTag, false }) ==
        std::nullopt);
  CHECK(gate.OnPermitResponse(PermitResponse{ result.mTag, true }) ==
        GateDecision{ result.mTag, GateOutcome::kHasPermit });
  SECTION("and releases it")
  {
    CHECK(gate.Ended(result.mTag) == RunEnded{ kContent, result.mTag, false });
  }
  SECTION("and reports the complete answer")
  {
    CHECK(gate.Answered(result.mTag, kContent, At(10)) ==
          RunEnded{ kContent, result.mTag, true });
  }
}

TEST_CASE("PermitIsRequestedAgainUntilTheTimeout")
{
  QuarantineGate gate = GateWithOneAtATime();
  const GateResult result = gate.Check(kContent, kTimeLeft, At(0));
  CHECK(gate.Tick(At(50)).mPermitRequests.empty());
  CHECK(gate.Tick(At(100)).mPermitRequests.size() == 1);
  CHECK(gate.Tick(At(150)).mPermitRequests.empty());
  const GateActions last = gate.Tick(At(1000));
  CHECK(last.mPermitRequests.empty());
  CHECK(last.mDecisions == std::vector{ GateDecision{
                             result.mTag, GateOutcome::kPermitTimeout } });
}

TEST_CASE("WaitingRequestIsDecidedWhenItsContentChangesStage")
{
  QuarantineGate gate = GateWithOneAtATime();
  const GateResult result = gate.Check(kContent, kTimeLeft, At(0));
  SECTION("cleared")
  {
    CHECK(gate.ApplyUpdate(Update(2, 3, QuarantineStage::kCleared), At(50))
            .mDecisions ==
          std::vector{ GateDecision{ result.mTag, GateOutcome::kAllowed } });
    CHECK(gate.ListedCount() == 0);
  }
  SECTION("refused")
  {
    CHECK(gate.ApplyUpdate(Update(2, 3, QuarantineStage::kRefused), At(50))
            .mDecisions ==
          std::vector{ GateDecision{ result.mTag, GateOutcome::kRefused } });
  }
  CHECK(gate.Tick(At(2000)).mDecisions.empty());
}

TEST_CASE("UpdatesThatDoNotFollowAreIgnored")
{
  QuarantineGate gate = GateWithOneAtATime();
  gate.ApplyUpdate(Update(5, 6, QuarantineStage::kRefused), At(0));
  CHECK(gate.KnownNumber() == 2);
  CHECK(gate.StageOf(kContent) == QuarantineStage::kOneAtATime);
  gate.ApplyUpdate(Update(2, 6, QuarantineStage::kRefused), At(0));
  gate.ApplyUpdate(Update(2, 3, QuarantineStage::kCleared), At(0));
  CHECK(gate.KnownNumber() == 6);
  CHECK(gate.StageOf(kContent) == QuarantineStage::kRefused);
}

TEST_CASE("PermitOfALostResponseIsReleasedAfterADelay")
{
  QuarantineGate gate = GateWithOneAtATime();
  const GateResult result = gate.Check(kContent, kTimeLeft, At(0));
  gate.OnPermitResponse(PermitResponse{ result.mTag, true });
  gate.Lost(result.mTag, At(100));
  CHECK(gate.Tick(At(500)).mEnded.empty());
  CHECK(gate.Tick(At(1100)).mEnded ==
        std::vector{ RunEnded{ kContent, result.mTag, false } });
  CHECK(gate.Tick(At(1200)).mEnded.empty());
}

TEST_CASE("AnswersToListedContentsAreReported")
{
  QuarantineGate gate = GateWithOneAtATime();
  CHECK(gate.Answered(0, kContent, At(0)) == RunEnded{ kContent, 0, true });
  CHECK(gate.Answered(0, { .mLow = 2 }, At(0)) == std::nullopt);
}

// Guards against refusing a popular content after upstreams crashed for
// unrelated reasons. The leader receives crashes only, so three crashes look
// consecutive there although thousands of copies were answered between the
// first and the second.
TEST_CASE("EarlierAnswerIsReportedWhenItsContentIsListed")
{
  QuarantineGate gate;
  gate.ApplyUpdate(QuarantineUpdate{ .mFrom = 0, .mTo = 1 }, At(0));
  CHECK(gate.Answered(0, kContent, At(0)) == std::nullopt);
  CHECK(gate.ApplyUpdate(Update(1, 2, QuarantineStage::kOneAtATime), At(70))
          .mEnded == std::vector{ RunEnded{ kContent, 0, true, 70 } });
}

// Guards against a permit that is never released, so that all requests of the
// content are refused for ten seconds. It happens if the leader grants the
// permit just when its request times out at the gate or its caller disconnects.
TEST_CASE("PermitThatNoRequestWaitsForIsReleased")
{
  QuarantineGate gate = GateWithOneAtATime();
  const GateResult result = gate.Check(kContent, kTimeLeft, At(0));
  const std::vector released{ RunEnded{ kContent, result.mTag, false } };
  SECTION("its request timed out")
  {
    CHECK(gate.Tick(At(1000)).mEnded == released);
  }
  SECTION("its caller disconnected")
  {
    gate.Cancel(result.mTag);
    CHECK(gate.Tick(At(50)).mEnded == released);
  }
  CHECK(gate.Tick(At(2000)).mEnded.empty());
}

TEST_CASE("RequestOfADisconnectedCallerGetsNoDecision")
{
  QuarantineGate gate = GateWithOneAtATime();
  const GateResult result = gate.Check(kContent, kTimeLeft, At(0));
  gate.Cancel(result.mTag);
  CHECK(gate.OnPermitResponse(PermitResponse{ result.mTag, true }) ==
        std::nullopt);
  CHECK(gate.Tick(At(2000)).mDecisions.empty());
}

} // namespace peridotspool::routing
