// ctest-labels: unit
#include "peridotspool/observe/Logger.h"

#include "peridotspool/base/Ids.h"
#include "peridotspool/observe/LogLine.h"

#include "support/TextOf.h"
#include <boost/json/parse.hpp>

#include <catch2/catch.hpp>
#include <filesystem>
#include <unistd.h>

namespace peridotspool::observe {

namespace {

const EventRow& kJoined = RowOf(EventId::kEntryJoined);

} // namespace

// Symptom: the log shows an event that never happened.
// Sequence: a caller names its request with a text that holds a line break and
// a whole log line; the name is logged.
// Cause: values written as they came.
TEST_CASE("ValuesCannotForgeLinesOrFields")
{
  const std::vector<LogField> fields{
    { "key", std::string("a\nlevel=error event=3002") },
    { "quote", std::string("x\" y=\"z") },
    { "bell", std::string("\x07") }
  };
  CHECK(KeyValueLine(kJoined, "e1", fields) ==
        "level=info event=2001 name=EntryJoined process=e1 "
        "key=\"a\\nlevel=error event=3002\" quote=\"x\\\" y=\\\"z\" "
        "bell=\"\\u0007\"");
  const auto json =
    boost::json::parse("{" + JsonMembers(kJoined, "e1", fields) + "}");
  CHECK(json.at("key").as_string() == "a\nlevel=error event=3002");
  CHECK(json.at("quote").as_string() == "x\" y=\"z");
}

TEST_CASE("FieldsKeepTheirTypes")
{
  const std::vector<LogField> fields{ { "member", MemberId(7) },
                                      { "domain", FailureDomain("marousi") },
                                      { "took", Duration(1500) },
                                      { "idempotent", false } };
  CHECK(KeyValueLine(kJoined, "e1", fields) ==
        "level=info event=2001 name=EntryJoined process=e1 member=7 "
        "domain=marousi took=1.5 idempotent=false");
}

TEST_CASE("SecretsAreNeverWritten")
{
  const std::vector<LogField> fields{ { "api_key", "open-sesame" },
                                      { "authorization", "Bearer x" } };
  CHECK(KeyValueLine(kJoined, "e1", fields).find("sesame") ==
        std::string::npos);
  CHECK(JsonMembers(kJoined, "e1", fields).find("Bearer") == std::string::npos);
}

TEST_CASE("LongValuesAreCut")
{
  const std::vector<LogField> fields{ { "body", std::string(100000, 'x') } };
  CHECK(KeyValueLine(kJoined, "e1", fields).size() < 2 * kMaxLoggedBytes);
}

TEST_CASE("LoggerWritesEventsOfItsLevelToItsFile")
{
  const auto path = std::filesystem::temp_directory_path() /
                    ("peridotspool-log-" + std::to_string(getpid()));
  settings::LogSettings settings;
  settings.mLevel = LogLevel::kWarn;
  settings.mFormat = settings::LogFormat::kJson;
  settings.mFile = path;
  LastReason reason;
  {
    const auto logger = Logger::Open(settings, "e1", reason);
    REQUIRE(logger != nullptr);
    logger->Log(EventId::kEntryJoined);
    logger->Log(EventId::kLeaseLost, { { "why", "{} braces" } });
  }
  const std::string text = TextOf(path);
  std::filesystem::remove(path);
  INFO(text);
  REQUIRE(std::count(text.begin(), text.end(), '\n') == 1);
  const auto json = boost::json::parse(text);
  CHECK(json.at("event").as_int64() == 2005);
  CHECK(json.at("why").as_string() == "{} braces");
}

TEST_CASE("LogFileThatCannotBeOpenedIsAReason")
{
  settings::LogSettings settings;
  settings.mFile = "/dev/null/nowhere";
  LastReason reason;
  CHECK(Logger::Open(settings, "e1", reason) == nullptr);
  CHECK(reason.IsSet());
}

} // namespace peridotspool::observe
