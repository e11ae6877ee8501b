// ctest-labels: unit
#include "peridotspool/settings/NodeSettings.h"

#include <catch2/catch.hpp>

namespace peridotspool::settings {

namespace {

const std::string kGood = R"(name: n1
region: r
failure_domain: d
listen:
  peer: 10.0.0.1:7600
  callers: 10.0.0.1:8221
seeds:
  addresses: "10.0.0.1:8229,10.0.0.2:8229"
  peer_port: 7600
  founding: true
shared:
  retry_ratio: 0.25
  quota_slack: 190000
duties:
  lease: 3000ms
)";

std::string
FaultOf(const std::string& aText)
{
  SettingsErrors errors;
  return ParseNodeSettings(aText, "n.yaml", errors) ? "" : ToText(errors);
}

} // namespace

TEST_CASE("ANodesSettingsAreRead")
{
  SettingsErrors errors;
  const auto settings = ParseNodeSettings(kGood, "n.yaml", errors);
  INFO(ToText(errors));
  REQUIRE(settings);
  CHECK(settings->mSeeds ==
        std::vector<Address>{ { "10.0.0.1", 7600 }, { "10.0.0.2", 7600 } });
  CHECK(settings->mFounding);
  CHECK(settings->mListen.mCallers->mPort == 8221);
  CHECK_FALSE(settings->mListen.mOperators);
  CHECK_FALSE(settings->mListen.mPeerBind);
  CHECK(settings->mShared.mRetryRatio == 0.25);
  CHECK(settings->mShared.mQuotaSlack == 190000.0);
  CHECK(settings->mDuties.mLease == std::chrono::seconds(3));
  CHECK_FALSE(settings->mDuties.mCloud);
  CHECK(settings->mBounds.mCallerMemoryBytes == 32U << 20);
}

TEST_CASE("SchedulingIsOffUnlessTheSettingsCallForIt")
{
  SettingsErrors errors;
  const auto plain = ParseNodeSettings(kGood, "n.yaml", errors);
  REQUIRE(plain);
  CHECK(plain->mScheduling == SchedulingSettings{});
  const auto set = ParseNodeSettings(kGood + "scheduling:\n"
                                             "  quota_wait: 1500ms\n"
                                             "  share_capacity: true\n"
                                             "  reserved_share: 0.1\n"
                                             "  upstream_speed: true\n",
                                     "n.yaml",
                                     errors);
  INFO(ToText(errors));
  REQUIRE(set);
  CHECK(set->mScheduling ==
        SchedulingSettings{ .mQuotaWait = std::chrono::milliseconds(1500),
                            .mShareCapacity = true,
                            .mReservedShare = 0.1,
                            .mUpstreamSpeed = true });
  CHECK_THAT(FaultOf(kGood + "scheduling:\n  reserved_share: 0.6\n"),
             Catch::Contains("n.yaml:17:19"));
}

TEST_CASE("ANodesFaultsAreNamedWithTheirPlace")
{
  CHECK_THAT(FaultOf(kGood + "unknown: 1\n"), Catch::Contains("n.yaml:16:1"));
  std::string text = kGood;
  text.replace(text.find("10.0.0.2:8229"), 13, "10.0.0.2");
  CHECK_THAT(FaultOf(text), Catch::Contains("expected HOST:PORT"));
  text = kGood;
  text.replace(text.find("  peer: 10.0.0.1:7600\n"), 22, "");
  CHECK_THAT(FaultOf(text), Catch::Contains("peer"));
}

} // namespace peridotspool::settings
