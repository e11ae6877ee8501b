// ctest-labels: promise-config
#include "ConfigDocument.h"

#include <catch2/catch.hpp>

#include <boost/json.hpp>

namespace peridotspool::platform {

namespace {

const char* const kGood = R"({"version":7,
"routes":[{"name":"r1","host":"h.example","path_prefix":"/a/","kind":"streaming",
"timeout_ms":12000,"target_latency_ms":1000,"priority":1,
"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
"max_attempts":2,"public":false,"sticky":true,"resumable":true,
"target_gap_ms":300},
{"name":"r2","host":"h.example","path_prefix":"/b/","kind":"non_idempotent",
"timeout_ms":800,"service":"s2","public":true}],
"services":[{"name":"s1","health_path":"/healthz","max_conns":390,
"engine":{"slots":64,"kv_tokens":596675,"models":[{"name":"m"}]},
"scaling":{"min":1,"max":10,"boot_s":4.0,"spot_price":0.22,
"zone_prices":{"z1":1.0,"z2":0.8}}},{"name":"s2","max_conns":130}],
"limits":{"max_header_bytes":1000,"max_body_bytes":2000,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1,
"unit":"token_count","plain_tokens":200,"rate_per_s":10,"burst":20}],
"unheard_of":{"x":1}})";

/** Returns the fault of the good document with one value replaced. */
std::string
FaultWith(const char* aPointer, const boost::json::value& aValue)
{
  boost::json::value document = boost::json::parse(kGood);
  document.at_pointer(aPointer) = aValue;
  LastReason reason;
  return ReadConfig(boost::json::serialize(document), reason) ? ""
                                                              : reason.Text();
}

} // namespace

TEST_CASE("ReadConfigGivesTheProductsOwnWords")
{
  LastReason reason;
  const auto table = ReadConfig(kGood, reason);
  INFO(reason.Text());
  REQUIRE(table);
  CHECK(table->Version() == 7);
  const gateway::Route* route = table->Find("h.example", "/a/x");
  REQUIRE(route != nullptr);
  CHECK(route->mKind == gateway::RequestKind::kStreaming);
  CHECK(route->mShares.size() == 2);
  CHECK(route->mTimeout == std::chrono::seconds(12));
  CHECK(route->mResumable);
  CHECK(table->Find("h.example", "/b/x")->mPublic);
  const auto* service = table->Service(ServiceName("s1"));
  REQUIRE(service != nullptr);
  CHECK(service->mEngine->mSlots == 64);
  CHECK(service->mScaling->mBootTime == std::chrono::seconds(4));
  CHECK(service->mScaling->mPrices.at(FailureDomain("z2")) == 0.8);
  const auto* customer = table->CustomerOf("k2");
  REQUIRE(customer != nullptr);
  CHECK(customer->mUnit == gateway::QuotaUnit::kTokens);
  CHECK(customer->mBurst == 20);
  CHECK(table->Limits().mBodyBytes == 2000);
}

// Guards against a document that is acknowledged and dropped because its
// version was rounded to the one before.
TEST_CASE("VersionsAreReadExactlyOrNotAtAll")
{
  const auto version = [](const std::string& aText) {
    std::string document = kGood;
    document.replace(document.find(":7,") + 1, 1, aText);
    LastReason reason;
    const auto table = ReadConfig(document, reason);
    return table ? std::to_string(table->Version()) : reason.Text();
  };
  for (const char* text : { "0",
                            "9007199254740992",
                            "9007199254740993",
                            "9223372036854775807",
                            "9223372036854775808",
                            "18446744073709551615" }) {
    CHECK(version(text) == text);
  }
  CHECK(version("1e3") == "1000");
  CHECK(version("7.0") == "7");
  for (const char* text : { "-1",
                            "7.5",
                            "18446744073709551616",
                            "9007199254740993.0",
                            "1e300",
                            "\"7\"",
                            "null" }) {
    CAPTURE(text);
    CHECK(version(text).starts_with("version: "));
  }
}

TEST_CASE("ReadConfigRefusesEachKindOfInvalidDocument")
{
  CHECK(FaultWith("/version", 8).empty());
  CHECK_FALSE(FaultWith("/routes/0/timeout_ms", 0).empty());
  CHECK_FALSE(FaultWith("/routes/1/service", "nobody").empty());
  CHECK_FALSE(FaultWith("/routes/0/traffic_split/0/service", "nobody").empty());
  CHECK_FALSE(FaultWith("/routes/1/path_prefix", "/a/").empty());
  CHECK_FALSE(FaultWith("/routes/0/traffic_split",
                        boost::json::parse(R"([{"service":"s1","weight":0}])"))
                .empty());
  CHECK_FALSE(FaultWith("/tenants",
                        boost::json::parse(
                          R"([{"name":"a","api_keys":["k"]},
                              {"name":"b","api_keys":["k"]}])"))
                .empty());
  CHECK_FALSE(FaultWith("/routes", "no list").empty());
  CHECK_FALSE(FaultWith("/version", "seven").empty());
  CHECK_FALSE(FaultWith("/routes/0/priority", -1).empty());
}

TEST_CASE("ReadConfigRefusesADocumentThatWasCutShort")
{
  const std::string whole(kGood);
  for (std::size_t length = 0; length < whole.size(); length += 37) {
    LastReason reason;
    INFO("length " << length);
    CHECK_FALSE(ReadConfig(whole.substr(0, length), reason));
    CHECK(reason.IsSet());
  }
}

// Symptom: a document was acknowledged and other numbers than its own were in
// force.
// Cause: a number that doesn't fit was cut to whatever the cast made of it.
TEST_CASE("ReadConfigRefusesNumbersThatDoNotFit")
{
  CHECK_THAT(FaultWith("/routes/0/timeout_ms", 1e300),
             Catch::Contains("timeout_ms: too large"));
  CHECK_THAT(FaultWith("/routes/0/max_attempts", 4294967296.0),
             Catch::Contains("max_attempts: too large"));
  CHECK(FaultWith("/routes/0/max_attempts", 4294967295.0).empty());
  CHECK_THAT(FaultWith("/services/0/engine/kv_tokens", 18446744073709551616.0),
             Catch::Contains("kv_tokens: too large"));
  CHECK_THAT(FaultWith("/tenants/0/plain_tokens", 1e15),
             Catch::Contains("plain_tokens: too large"));
}

} // namespace peridotspool::platform
