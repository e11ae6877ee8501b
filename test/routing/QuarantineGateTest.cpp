// ctest-labels: unit
#include "peridotspool/routing/QuarantineGate.h"

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

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
  CHECK(gate.Check({ kContent }, kTimeLeft, At(0)).mOutcome ==
        GateOutcome::kAllowed);
  gate.ApplyUpdate(QuarantineUpdate{ .mFrom = 0, .mTo = 1 }, At(0));
  CHECK(gate.HasTable());
  CHECK(gate.Check({ kContent }, kTimeLeft, At(0)).mOutcome ==
        GateOutcome::kAllowed);
}

TEST_CASE("RefusedContentsAreRefusedAtOnce")
{
  QuarantineGate gate;
  gate.ApplyUpdate(Update(0, 4, QuarantineStage::kRefused), At(0));
  CHECK(gate.Check({ kContent }, kTimeLeft, At(0)).mOutcome ==
        GateOutcome::kRefused);
  CHECK(gate.ListedCount() == 1);
}

TEST_CASE("OneAtATimeContentRunsWhenThePermitIsGranted")
{
  QuarantineGate gate = GateWithOneAtATime();
  const GateResult result = gate.Check({ kContent }, kTimeLeft, At(0));
  REQUIRE(result.mOutcome == GateOutcome::kWaitsForPermit);
  CHECK(result.mPermitRequest.mContents == std::vector{ kContent });
  CHECK(result.mPermitRequest.mForMs == 4000);
  CHECK(gate.OnPermitResponse(PermitResponse{
          result.mTag, PermitVerdict::kDenied }) == std::nullopt);
  CHECK(gate.OnPermitResponse(
          PermitResponse{ result.mTag, PermitVerdict::kGranted }) ==
        GateDecision{ result.mTag, GateOutcome::kHasPermit });
  SECTION("and releases it")
  {
    CHECK(gate.Ended(result.mTag) ==
          RunEnded{ { kContent }, result.mTag, false });
  }
  SECTION("and reports the complete answer")
  {
    CHECK(gate.Answered(
            result.mTag, { kContent }, AnswerEvidence::kComplete, At(10)) ==
          std::vector{ RunEnded{ { kContent }, result.mTag, true } });
  }
}

TEST_CASE("PermitIsRequestedAgainUntilTheTimeout")
{
  QuarantineGate gate = GateWithOneAtATime();
  const GateResult result = gate.Check({ kContent }, kTimeLeft, At(0));
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
  const GateResult result = gate.Check({ kContent }, kTimeLeft, At(0));
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
  const GateResult result = gate.Check({ kContent }, kTimeLeft, At(0));
  gate.OnPermitResponse(PermitResponse{ result.mTag, PermitVerdict::kGranted });
  gate.Lost(result.mTag, At(100));
  CHECK(gate.Tick(At(500)).mEnded.empty());
  CHECK(gate.Tick(At(1100)).mEnded ==
        std::vector{ RunEnded{ { kContent }, result.mTag, false } });
  CHECK(gate.Tick(At(1200)).mEnded.empty());
}

TEST_CASE("AnswersToListedContentsAreReported")
{
  QuarantineGate gate = GateWithOneAtATime();
  CHECK(gate.Answered(0, { kContent }, AnswerEvidence::kComplete, At(0)) ==
        std::vector{ RunEnded{ { kContent }, 0, true } });
  CHECK(gate.Answered(0, { { .mLow = 2 } }, AnswerEvidence::kComplete, At(0))
          .empty());
}

// Guards against refusing a popular content after upstreams crashed for
// unrelated reasons. The leader receives crashes only, so three crashes look
// consecutive there although thousands of copies were answered between the
// first and the second.
TEST_CASE("EarlierAnswerIsReportedWhenItsContentIsListed")
{
  QuarantineGate gate;
  gate.ApplyUpdate(QuarantineUpdate{ .mFrom = 0, .mTo = 1 }, At(0));
  CHECK(
    gate.Answered(0, { kContent }, AnswerEvidence::kComplete, At(0)).empty());
  CHECK(gate.ApplyUpdate(Update(1, 2, QuarantineStage::kOneAtATime), At(70))
          .mEnded == std::vector{ RunEnded{ { kContent }, 0, true, 70 } });
}

// Guards against a permit that is never released, so that all requests of the
// content are refused for ten seconds. It happens if the leader grants the
// permit just when its request times out at the gate or its caller disconnects.
TEST_CASE("PermitThatNoRequestWaitsForIsReleased")
{
  QuarantineGate gate = GateWithOneAtATime();
  const GateResult result = gate.Check({ kContent }, kTimeLeft, At(0));
  const std::vector released{ RunEnded{ { kContent }, result.mTag, false } };
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
  const GateResult result = gate.Check({ kContent }, kTimeLeft, At(0));
  gate.Cancel(result.mTag);
  CHECK(gate.OnPermitResponse(PermitResponse{
          result.mTag, PermitVerdict::kGranted }) == std::nullopt);
  CHECK(gate.Tick(At(2000)).mDecisions.empty());
}

namespace {

const PromptPartId kPart(5);

/** A gate that lists a part. */
QuarantineGate
GateWithPart(QuarantineStage aStage, const char* aOnlyFor = "")
{
  QuarantineGate gate;
  gate.ApplyUpdate({ .mTo = 2,
                     .mLines = { { .mContent = ContentOf(kPart),
                                   .mStage = aStage,
                                   .mOnlyFor = CustomerName(aOnlyFor) } } },
                   At(0));
  return gate;
}

GateRequest
RequestWith(std::vector<PromptPartId> aParts, const char* aCustomer = "c")
{
  return { .mContent = { .mHigh = 1, .mLow = 99 },
           .mParts = std::move(aParts),
           .mCustomer = CustomerName(aCustomer) };
}

} // namespace

TEST_CASE("RequestWithARefusedPartAnywhereIsRefused")
{
  QuarantineGate gate = GateWithPart(QuarantineStage::kRefused);
  const auto outcome = [&](const GateRequest& aRequest) {
    return gate.Check(aRequest, kTimeLeft, At(0)).mOutcome;
  };
  CHECK(outcome(RequestWith({ PromptPartId(1), PromptPartId(2), kPart })) ==
        GateOutcome::kRefused);
  CHECK(outcome(RequestWith({ kPart, PromptPartId(1) })) ==
        GateOutcome::kRefused);
  CHECK(outcome(RequestWith({ PromptPartId(1) })) == GateOutcome::kAllowed);
}

TEST_CASE("PartRefusedForOneCustomerRunsOneAtATimeForOthers")
{
  QuarantineGate gate = GateWithPart(QuarantineStage::kRefused, "c");
  CHECK(gate.Check(RequestWith({ kPart }), kTimeLeft, At(0)).mOutcome ==
        GateOutcome::kRefused);
  const GateResult other =
    gate.Check(RequestWith({ kPart }, "d"), kTimeLeft, At(0));
  CHECK(other.mOutcome == GateOutcome::kWaitsForPermit);
  CHECK(other.mPermitRequest.mContents == std::vector{ ContentOf(kPart) });
  CHECK(other.mPermitRequest.mCustomer == CustomerName("d"));
}

TEST_CASE("LeaderCanRefuseARequestThatWaits")
{
  QuarantineGate gate = GateWithPart(QuarantineStage::kOneAtATime);
  const GateResult result =
    gate.Check(RequestWith({ kPart }), kTimeLeft, At(0));
  CHECK(gate.OnPermitResponse({ result.mTag, PermitVerdict::kRefused }) ==
        GateDecision{ result.mTag, GateOutcome::kRefused });
}

TEST_CASE("OnlyACompleteAnswerIsReportedForAPart")
{
  QuarantineGate gate = GateWithPart(QuarantineStage::kWatched);
  const GateRequest request = RequestWith({ kPart });
  CHECK(gate.Check(request, kTimeLeft, At(0)).mOutcome ==
        GateOutcome::kAllowed);
  CHECK(
    gate.Answered(0, request, AnswerEvidence::kUpstreamAlive, At(0)).empty());
  const auto reports =
    gate.Answered(0, request, AnswerEvidence::kComplete, At(10));
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].mContents == std::vector{ ContentOf(kPart) });
  CHECK(reports[0].mAnswered);
  // Repeated now and then, as a report may be lost.
  CHECK(gate.Answered(0, request, AnswerEvidence::kComplete, At(20)).empty());
  CHECK(gate.Answered(0, request, AnswerEvidence::kComplete, At(600)).size() ==
        1);
}

TEST_CASE("FailedAnswerReleasesThePermitOfAPartAndClearsNothing")
{
  QuarantineGate gate = GateWithPart(QuarantineStage::kOneAtATime);
  const GateRequest request = RequestWith({ kPart });
  const GateResult result = gate.Check(request, kTimeLeft, At(0));
  gate.OnPermitResponse({ result.mTag, PermitVerdict::kGranted });
  const auto reports =
    gate.Answered(result.mTag, request, AnswerEvidence::kUpstreamAlive, At(10));
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].mTag == result.mTag);
  CHECK_FALSE(reports[0].mAnswered);
}

TEST_CASE("NewLeaderIsToldOfRememberedAnswers")
{
  QuarantineGate gate;
  gate.ApplyUpdate({ .mTo = 1 }, At(0));
  gate.Answered(0, RequestWith({ kPart }), AnswerEvidence::kComplete, At(0));
  gate.ApplyUpdate(
    { .mFrom = 1,
      .mTo = 2,
      .mLines = { { ContentOf(kPart), QuarantineStage::kWatched } } },
    At(100));
  const auto answers = gate.RememberedAnswers(At(300));
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].mContents == std::vector{ ContentOf(kPart) });
  CHECK(answers[0].mAgeMs == 300);
}

} // namespace peridotspool::routing
