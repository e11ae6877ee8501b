// ctest-labels: unit
#include "ControlCalls.h"

#include <catch2/catch.hpp>

#include <boost/json.hpp>

namespace peridotspool::platform {

namespace {

using membership::UpstreamStage;

runtime::ControlCall
Read(const std::string& aMethod,
     const std::string& aPath,
     const std::string& aBody = {},
     std::map<std::string, std::string> aQuery = {})
{
  return ControlCalls(8229).mRead({ .mMethod = aMethod,
                                    .mPath = aPath,
                                    .mQuery = std::move(aQuery),
                                    .mHeaders = {},
                                    .mBody = aBody });
}

std::uint32_t
RefusalOf(const runtime::ControlCall& aCall)
{
  const auto* answered = std::get_if<runtime::AnsweredCall>(&aCall);
  return answered == nullptr ? 0 : answered->mResponse.mStatus;
}

membership::EntryProfile
Entry(const char* aDomain, std::uint16_t aPort)
{
  return { .mDomain = FailureDomain(aDomain),
           .mCallerAddress = { "10.0.0.1", aPort } };
}

boost::json::array
AddressesFor(const char* aDomain,
             const std::vector<membership::EntryProfile>& aEntries)
{
  const auto response = ControlCalls(1).mWriteDirectory(
    aEntries, { .mDomain = FailureDomain(aDomain) });
  return response.mStatus == 200
           ? boost::json::parse(response.mBody).at("addresses").as_array()
           : boost::json::array{};
}

} // namespace

TEST_CASE("HeartbeatsAndGoodbyesAreRead")
{
  const auto call = Read("POST",
                         "/instances/i-1/heartbeat",
                         R"({"service":"s","address":"10.128.0.9:8080",
      "zone":"z","slots":64,"state":"draining","seq":4,"spot":true,
      "cold_remaining_ms":20,"born":1770000000123,"new":1})");
  const auto& report = std::get<runtime::AnnounceCall>(call).mReport;
  CHECK(report.mName == UpstreamName("i-1"));
  CHECK(report.mAddress == Address{ "10.128.0.9", 8080 });
  CHECK(report.mStage == UpstreamStage::kDraining);
  CHECK(report.mSequence == 4);
  CHECK(report.mIncarnation == Incarnation(1770000000123));
  CHECK(report.mReclaimable);
  const auto bye = Read("POST", "/instances/i-1/deregister");
  CHECK(std::get<runtime::DeregisterCall>(bye).mName == UpstreamName("i-1"));
}

// Guards against a late report that passes for the newest, and against two
// lives of an upstream that look like one, where both are told by large
// numbers.
TEST_CASE("SequencesAndIncarnationsAreReadExactly")
{
  const auto call = Read("POST",
                         "/instances/i-1/heartbeat",
                         R"({"service":"s","address":"10.128.0.9:8080",
      "zone":"z","slots":64,"state":"ready","seq":1770000000123456789,
      "born":18446744073709551615,"cold_remaining_ms":1e300})");
  const auto& report = std::get<runtime::AnnounceCall>(call).mReport;
  CHECK(report.mSequence == 1770000000123456789U);
  CHECK(report.mIncarnation == Incarnation(18446744073709551615U));
  CHECK(report.mColdFor > Duration(0));
  const auto bye =
    Read("POST", "/instances/i-1/deregister", R"({"born":9007199254740993})");
  CHECK(std::get<runtime::DeregisterCall>(bye).mIncarnation ==
        Incarnation(9007199254740993U));
}

// Symptom: requests were sent to an address that belongs to nobody.
// Sequence: another writer's announcement lacks a field, or has it of another
// type or with a word that no page names.
// Cause: what was missing was taken for empty, and any state for ready.
TEST_CASE("AnAnnouncementThatIsNotWholeNamesNoUpstream")
{
  const std::string whole =
    R"({"service":"s","address":"10.1.0.9:80","zone":"z","slots":4,)"
    R"("state":"ready","seq":1,"born":5})";
  const auto with = [&](const std::string& aFrom, const std::string& aTo) {
    std::string beat = whole;
    beat.replace(beat.find(aFrom), aFrom.size(), aTo);
    return RefusalOf(Read("POST", "/instances/i-1/heartbeat", beat));
  };
  CHECK(with("\"s\"", "\"s\"") == 0);
  CHECK(with("\"s\"", "7") == 400);
  CHECK(with("service", "servixe") == 400);
  CHECK(with("\"zone\":\"z\",", "") == 400);
  CHECK(with("\"slots\":4", "\"slots\":\"4\"") == 400);
  CHECK(with("\"seq\":1", "\"seq\":null") == 400);
  CHECK(with("\"ready\"", "\"sleeping\"") == 400);
  CHECK(with("\"state\":\"ready\",", "") == 400);
  CHECK(with("\"born\":5", "\"born\":5.5") == 400);
  CHECK(with("\"born\":5", "\"born\":\"x\"") == 400);
  CHECK(with("10.1.0.9:80", "10.1.0.9") == 400);
}

TEST_CASE("MalformedCallsAreRefused")
{
  CHECK(RefusalOf(Read("POST", "/instances/i-1/heartbeat", "{")) == 400);
  CHECK(RefusalOf(Read("POST", "/instances/i-1/heartbeat", "{}")) == 400);
  CHECK(RefusalOf(Read("POST", "/instances//heartbeat", "{}")) == 404);
  CHECK(RefusalOf(Read("POST", "/instances/i-1/other", "{}")) == 404);
  CHECK(RefusalOf(Read("POST", "/config/replace", "{\"version\":")) == 400);
  CHECK(RefusalOf(Read("GET", "/other")) == 404);
}

TEST_CASE("AFollowerSendsTheOperatorToTheLeader")
{
  const auto answer = ControlCalls(8229).mWriteAnswer(
    control::NotLeaderResponse{ Address{ "10.3.0.1", 7600 } }, "/config/read");
  CHECK(answer.mStatus == 307);
  CHECK(answer.mHeaders.at("location") == "http://10.3.0.1:8229/config/read");
  CHECK(ControlCalls(8229)
          .mWriteAnswer(control::NotLeaderResponse{}, "/config/read")
          .mStatus == 503);
}

// Symptom: an operator's order ended with a refusal though it was in force.
// Cause: an answer that says "unknown" was written as one of the statuses that
// end a call for good.
TEST_CASE("AnUncertainOutcomeIsNeverARefusal")
{
  CHECK(
    ControlCalls(1).mWriteAnswer(control::UncertainResponse{}, "").mStatus ==
    503);
  CHECK(ControlCalls(1)
          .mWriteAnswer(control::RefusedResponse{ "busy" }, "")
          .mStatus == 503);
  CHECK(ControlCalls(1).mWriteAnswer(control::SettingsResponse{}, "").mStatus ==
        503);
}

// Guards against an operator that sends settings again and again that no
// replica will take.
TEST_CASE("TooLargeSettingsEndAnOperatorsCall")
{
  const auto answer = ControlCalls(1).mWriteAnswer(
    control::TooLargeResponse{ .mBytes = 5000000, .mMost = 4194304 }, "");
  CHECK(answer.mStatus == 413);
  const auto busy =
    ControlCalls(1).mWriteAnswer(control::OverloadedResponse{ "busy" }, "");
  CHECK(busy.mStatus == 503);
  CHECK(busy.mHeaders.at("retry-after") == "1");
}

TEST_CASE("CallersAreGivenEntriesOfTheirOwnDomainWhereThereAreEnough")
{
  const std::vector<membership::EntryProfile> entries{ Entry("a", 1),
                                                       Entry("a", 2),
                                                       Entry("b", 3) };
  CHECK(AddressesFor("a", entries).size() == 2);
  CHECK(AddressesFor("b", entries).size() == 3);
  CHECK(AddressesFor("c", entries).size() == 3);
  CHECK(AddressesFor("a", {}).empty());
}

TEST_CASE("DutiesCarryHolderAndFence")
{
  const auto usage = ControlCalls(1).mWriteDuty(
    gateway::UsageWindow{ .mNumber = 9,
                          .mCounts = { { CustomerName("c"), 4 } } },
    { .mHolder = "n", .mFence = 12 });
  CHECK(usage.mPath == "/usage");
  CHECK(usage.mBody == R"({"window":9,"counts":{"c":4}})");
  CHECK(usage.mHeaders.at("peridotspool-fence-token") == "12");
  const auto order =
    ControlCalls(1).mWriteDuty(fleet::PoolOrder{ .mService = ServiceName("s"),
                                                 .mDomain = FailureDomain("z"),
                                                 .mReclaimable = true,
                                                 .mDesired = 6 },
                               { .mHolder = "n", .mFence = 12 });
  CHECK(order.mBody == R"({"service":"s","zone":"z","desired":6,"spot":true})");
}

TEST_CASE("RolloutsAreOrderedAndRead")
{
  const auto call = Read("POST",
                         "/rollouts/start",
                         R"({"service":"s","to":"v2","duration_s":12.5})");
  const auto* order = std::get_if<control::RolloutStartRequest>(
    &std::get<control::OperatorRequest>(call));
  REQUIRE(order != nullptr);
  CHECK(order->mOrder.mService == ServiceName("s"));
  CHECK(order->mOrder.mTo == VersionName("v2"));
  CHECK(order->mOrder.mDuration == std::chrono::milliseconds(12500));
  const auto read = Read("GET", "/rollouts/s/read");
  CHECK(std::get<control::RolloutsRequest>(std::get<control::OperatorRequest>(
          read)) == control::RolloutsRequest{ ServiceName("s") });
  for (const char* body :
       { "",
         "[]",
         R"({"service":"s","duration_s":12})",
         R"({"to":"v2","duration_s":12})",
         R"({"service":"s","to":"v2"})",
         R"({"service":"s","to":"v2","duration_s":0})",
         R"({"service":"s","to":"v2","duration_s":-1})",
         R"({"service":"s","to":"v2","duration_s":1e300})",
         R"({"service":"s","to":"v2","duration_s":"12"})" }) {
    INFO(body);
    CHECK(RefusalOf(Read("POST", "/rollouts/start", body)) == 400);
  }
  CHECK(RefusalOf(Read("GET", "/rollouts//read")) == 404);
  CHECK(RefusalOf(Read("GET", "/rollouts/s/write")) == 404);
}

TEST_CASE("ARolloutsStateIsTold")
{
  const auto answer = [](rollout::RolloutState aState) {
    const auto response = ControlCalls(1).mWriteAnswer(
      control::RolloutsResponse{
        { { .mOrder = { .mTo = VersionName("v2") }, .mState = aState } } },
      "/rollouts/s/read");
    return response.mBody;
  };
  CHECK(answer(rollout::RolloutState::kRunning) ==
        R"({"state":"running","to":"v2"})");
  CHECK(answer(rollout::RolloutState::kCompleted) ==
        R"({"state":"completed","to":"v2"})");
  CHECK(answer(rollout::RolloutState::kRolledBack) ==
        R"({"state":"rolled_back","to":"v2"})");
  CHECK(ControlCalls(1)
          .mWriteAnswer(control::RolloutsResponse{}, "/rollouts/s/read")
          .mStatus == 404);
  CHECK(ControlCalls(1)
          .mWriteAnswer(control::NotLeaderResponse{}, "/rollouts/s/read")
          .mStatus == 503);
}

TEST_CASE("TheQuarantineIsListedAndLifted")
{
  const auto list = Read("GET", "/v1/quarantine");
  const auto* asked = std::get_if<control::OperatorRequest>(&list);
  REQUIRE(asked != nullptr);
  CHECK(std::holds_alternative<control::QuarantineRequest>(*asked));
  const ContentId content{ .mHigh = 1, .mLow = 2 };
  const auto lift = Read("DELETE", "/v1/quarantine/" + ToText(content));
  const auto* lifted = std::get_if<control::OperatorRequest>(&lift);
  REQUIRE(lifted != nullptr);
  CHECK(std::get<control::QuarantineChangeRequest>(*lifted) ==
        control::QuarantineChangeRequest{ { { .mContent = content } } });
  CHECK(RefusalOf(Read("DELETE", "/v1/quarantine/12")) == 400);
  CHECK(RefusalOf(Read("DELETE", "/instances/i-1")) == 404);

  const control::QuarantineResponse answer{
    { { .mNumber = 2,
        .mChange = { .mContent = content,
                     .mStage = routing::QuarantineStage::kRefused,
                     .mCounted = 3 } } }
  };
  const auto response = ControlCalls(1).mWriteAnswer(answer, "/v1/quarantine");
  CHECK(response.mStatus == 200);
  const auto contents =
    boost::json::parse(response.mBody).at("contents").as_array();
  REQUIRE(contents.size() == 1);
  CHECK(contents[0].at("content").as_string() == ToText(content));
  CHECK(contents[0].at("stage").as_string() == "refused");
}

} // namespace peridotspool::platform
