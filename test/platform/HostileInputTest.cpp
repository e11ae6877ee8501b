// ctest-labels: unit
#include "ConfigDocument.h"
#include "ControlCalls.h"
#include "peridotspool/gateway/HeaderRules.h"
#include "peridotspool/gateway/PromptParts.h"
#include "peridotspool/gateway/TokenCounts.h"

#include <catch2/catch.hpp>

#include <boost/json.hpp>

#include <cstdlib>
#include <random>
#include <string>
#include <vector>

namespace peridotspool::platform {

namespace {

namespace json = boost::json;

/** So many texts of each kind; more by hand, with HOSTILE_TEXTS. */
constexpr unsigned kTexts = 2000;

const std::string kDocument = R"({"version":7,
"routes":[{"name":"r1","host":"h.example","path_prefix":"/a/","kind":"streaming",
"timeout_ms":12000,"target_latency_ms":1000,"priority":1,
"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
"max_attempts":2,"public":false,"sticky":true,"resumable":true,
"target_gap_ms":300}],
"services":[{"name":"s1","health_path":"/healthz","max_conns":390,
"engine":{"slots":64,"kv_tokens":596675,"models":[{"name":"m"}]},
"scaling":{"min":1,"max":10,"boot_s":4.0,"spot_price":0.22,
"zone_prices":{"z1":1.0}}},{"name":"s2","max_conns":130}],
"limits":{"max_header_bytes":1000,"max_body_bytes":2000,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1,
"unit":"token_count","plain_tokens":200,"rate_per_s":10,"burst":20}]})";

const std::string kHeartbeat = R"({"service":"s","address":"10.0.0.9:8080",
"zone":"z","version":"v1","slots":64,"state":"ready","cold_remaining_ms":20,
"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"seq":4,
"spot":true,"born":1770000000123})";

/** Makes texts that are nearly the one given. */
class Spoiler
{
public:
  explicit Spoiler(unsigned aSeed)
    : mRandom(aSeed)
  {
  }

  /** One or a few values are of another type or size, or are gone. */
  std::string OtherValues(const std::string& aText)
  {
    json::value value = json::parse(aText);
    for (unsigned i = 0; i <= mRandom() % 3; ++i) {
      SpoilOne(value);
    }
    return json::serialize(value);
  }

  /** Bytes are changed, cut off or doubled. */
  std::string OtherBytes(std::string aText)
  {
    for (unsigned i = 0; i <= mRandom() % 4 && !aText.empty(); ++i) {
      const std::size_t place = mRandom() % aText.size();
      switch (mRandom() % 3) {
        case 0:
          aText[place] = static_cast<char>(mRandom());
          break;
        case 1:
          aText.resize(place);
          break;
        default:
          aText.insert(place, aText.substr(place / 2, mRandom() % 50));
          break;
      }
    }
    return aText;
  }

private:
  json::value Odd()
  {
    const json::array odd = { nullptr,    true,          -1,
                              0,          1e300,         -1e300,
                              1e-300,     UINT64_MAX,    INT64_MIN,
                              "",         "x",           std::string(5000, '/'),
                              "\xc3\x28", json::array{}, json::object{} };
    return odd[mRandom() % odd.size()];
  }

  void SpoilOne(json::value& aValue)
  {
    const bool here = mRandom() % 6 == 0;
    if (!here && aValue.is_object() && !aValue.get_object().empty()) {
      auto& object = aValue.get_object();
      auto place = object.begin();
      std::advance(place, mRandom() % object.size());
      if (mRandom() % 8 == 0) {
        object.erase(place);
      } else {
        SpoilOne(place->value());
      }
    } else if (!here && aValue.is_array() && !aValue.get_array().empty()) {
      auto& array = aValue.get_array();
      const std::size_t place = mRandom() % array.size();
      if (mRandom() % 8 == 0) {
        array.push_back(json::value(array[place]));
      } else {
        SpoilOne(array[place]);
      }
    } else {
      aValue = Odd();
    }
  }

  std::mt19937 mRandom;
};

unsigned
Texts()
{
  const char* const given = std::getenv("HOSTILE_TEXTS");
  return given == nullptr
           ? kTexts
           : static_cast<unsigned>(std::strtoul(given, nullptr, 10));
}

} // namespace

// Symptom to be kept away: a text that ends each process which reads it, sent
// on to the next one by its sender, or kept on the log and read at each start.
// Whatever it holds, it is read or refused with a reason.
TEST_CASE("NoDocumentEndsTheProcessThatReadsIt")
{
  Spoiler spoiler(1);
  unsigned refused = 0;
  for (unsigned i = 0; i < Texts(); ++i) {
    const std::string text = i % 2 == 0 ? spoiler.OtherValues(kDocument)
                                        : spoiler.OtherBytes(kDocument);
    INFO(text);
    LastReason reason;
    const auto table = ReadConfig(text, reason);
    if (!table) {
      ++refused;
      CHECK_FALSE(reason.Text().empty());
    } else {
      // What was taken is used: by each request, and again at each start.
      table->Find("h.example", "/a/x");
      table->CustomerOf("k1");
    }
  }
  CHECK(refused > 0);
  CHECK(refused < Texts());
}

TEST_CASE("NoAnnouncementEndsTheProcessThatReadsIt")
{
  Spoiler spoiler(2);
  const runtime::ControlDialect dialect = ControlCalls(1);
  for (unsigned i = 0; i < Texts(); ++i) {
    const std::string text = i % 2 == 0 ? spoiler.OtherValues(kHeartbeat)
                                        : spoiler.OtherBytes(kHeartbeat);
    INFO(text);
    const auto call = dialect.mRead({ .mMethod = "POST",
                                      .mPath = "/instances/i-1/heartbeat",
                                      .mQuery = {},
                                      .mHeaders = {},
                                      .mBody = text });
    const auto* refused = std::get_if<runtime::AnsweredCall>(&call);
    CHECK((refused == nullptr || refused->mResponse.mStatus == 400));
  }
}

TEST_CASE("NoFieldOfARequestEndsTheProcessThatReadsIt")
{
  Spoiler spoiler(3);
  for (unsigned i = 0; i < Texts(); ++i) {
    const std::string parts =
      spoiler.OtherBytes("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    const auto read = gateway::ParsePromptParts(parts);
    CHECK(read.mParts.size() <= 16);
    const auto counts = gateway::ParseTokenCounts(
      spoiler.OtherBytes("1460,18446744073709551615"));
    if (counts) {
      gateway::MaxGenerationTime(*counts);
    }
    gateway::BearerToken(spoiler.OtherBytes("Bearer i9n73hh2b9wu3fexd9dn"));
    ReadContentId(spoiler.OtherBytes("474be0b2072716924b90681280302f3a"));
  }
}

} // namespace peridotspool::platform
