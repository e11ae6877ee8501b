#include "peridotspool/runtime/CtlCommands.h"

#include "http/JsonFields.h"
#include "peridotspool/runtime/KeyFiles.h"
#include "peridotspool/settings/SettingsTree.h"
#include "runtime/TextTable.h"

#include <boost/json.hpp>

#include <iostream>
#include <map>

namespace peridotspool::runtime {

namespace json = boost::json;

namespace {

constexpr std::uint32_t kStatusOk = 200;
constexpr std::uint32_t kStatusConflict = 409;
constexpr std::uint32_t kStatusUnprocessable = 422;

/** Returns a JSON value as a table's cell. */
std::string
Cell(const json::value& aValue)
{
  return aValue.is_string() ? std::string(aValue.get_string())
                            : json::serialize(aValue);
}

/** Returns a table of the named fields of a list of objects. */
std::string
TableOf(const json::value& aList, const std::vector<std::string>& aFields)
{
  std::vector<std::vector<std::string>> rows{ aFields };
  if (!aList.is_array()) {
    return FormatTable(rows);
  }
  for (const json::value& item : aList.get_array()) {
    std::vector<std::string> row;
    for (const std::string& field : aFields) {
      const json::value* value =
        item.is_object() ? item.get_object().if_contains(field) : nullptr;
      row.push_back(value == nullptr ? "-" : Cell(*value));
    }
    rows.push_back(std::move(row));
  }
  return FormatTable(rows);
}

/** Returns a table of an object's fields that are no lists. */
std::string
FieldsOf(const json::object& aObject)
{
  std::vector<std::vector<std::string>> rows{ { "field", "value" } };
  for (const auto& field : aObject) {
    if (!field.value().is_array()) {
      rows.push_back({ std::string(field.key()), Cell(field.value()) });
    }
  }
  return FormatTable(rows);
}

json::object
ObjectOf(const http::HttpResponse& aResponse)
{
  const auto data = http::ParseJson(aResponse.mBody);
  const json::object* fields = data ? data->if_object() : nullptr;
  return fields == nullptr ? json::object() : *fields;
}

json::value
FieldOf(const json::object& aObject, const char* aName)
{
  const json::value* value = aObject.if_contains(aName);
  return value == nullptr ? json::value() : *value;
}

CtlExit
PrintRefusal(const http::HttpResponse& aResponse)
{
  std::cerr << "refused (" << aResponse.mStatus << "): " << aResponse.mBody
            << "\n";
  return CtlExit::kRefused;
}

} // namespace

std::optional<http::HttpResponse>
CtlCommands::AskControl(const std::string& aMethod,
                        const std::string& aPath,
                        const std::string& aBody)
{
  LastReason reason;
  const auto question = aPath.find('?');
  http::HttpRequest request{ .mMethod = aMethod,
                             .mPath = aPath.substr(0, question),
                             .mBody = aBody };
  if (question != std::string::npos) {
    // Our own queries are plain name=number pairs.
    std::string rest = aPath.substr(question + 1);
    while (!rest.empty()) {
      const auto end = std::min(rest.find('&'), rest.size());
      const auto equals = rest.find('=');
      request.mQuery[rest.substr(0, equals)] =
        rest.substr(equals + 1, end - equals - 1);
      rest.erase(0, end + 1);
    }
  }
  auto response = mClient.AskControl(request, reason);
  if (!response) {
    std::cerr << "no answer: " << reason.Text() << "\n";
  }
  return response;
}

std::optional<http::HttpResponse>
CtlCommands::AskEntry(const std::string& aPath)
{
  LastReason reason;
  auto response =
    mClient.AskEntry({ .mMethod = "GET", .mPath = aPath }, reason);
  if (!response) {
    std::cerr << "no answer: " << reason.Text() << "\n";
  }
  return response;
}

CtlExit
CtlCommands::Status()
{
  const auto response = AskControl("GET", "/v1/status");
  if (!response) {
    return CtlExit::kUnreachable;
  }
  if (response->mStatus != kStatusOk) {
    return PrintRefusal(*response);
  }
  if (mFormat == CtlFormat::kJson) {
    std::cout << response->mBody << "\n";
    return CtlExit::kDone;
  }
  const json::object status = ObjectOf(*response);
  std::cout << FieldsOf(status) << "\ncontrol replicas\n"
            << TableOf(FieldOf(status, "replicas"),
                       { "id", "name", "domain", "voter", "leads", "match" })
            << "\nentries\n"
            << TableOf(FieldOf(status, "entries"),
                       { "name",
                         "domain",
                         "address",
                         "state",
                         "revision",
                         "epoch",
                         "silent_ms" });
  PrintCounters();
  return CtlExit::kDone;
}

void
CtlCommands::PrintCounters()
{
  // What entries count, added up; a row for each that is not zero.
  std::map<std::string, std::uint64_t> sums;
  const auto answers =
    mClient.AskEveryEntry({ .mMethod = "GET", .mPath = "/v1/status" });
  for (const auto& answer : answers) {
    const json::value counters = FieldOf(ObjectOf(answer), "counters");
    if (!counters.is_object()) {
      continue;
    }
    for (const auto& counter : counters.get_object()) {
      sums[std::string(counter.key())] +=
        http::UnsignedField(counters.get_object(), counter.key()).value_or(0);
    }
  }
  std::vector<std::vector<std::string>> rows{ { "counter", "sum" } };
  for (const auto& [name, sum] : sums) {
    if (sum > 0) {
      rows.push_back({ name, std::to_string(sum) });
    }
  }
  std::cout << "\ncounters of " << answers.size() << " entries\n"
            << FormatTable(rows);
}

CtlExit
CtlCommands::Entries()
{
  const auto response = AskControl("GET", "/v1/status");
  if (!response) {
    return CtlExit::kUnreachable;
  }
  if (response->mStatus != kStatusOk) {
    return PrintRefusal(*response);
  }
  const json::value entries = FieldOf(ObjectOf(*response), "entries");
  if (mFormat == CtlFormat::kJson) {
    std::cout << json::serialize(entries) << "\n";
  } else {
    std::cout << TableOf(entries,
                         { "member", "name", "domain", "address", "state" });
  }
  return CtlExit::kDone;
}

CtlExit
CtlCommands::Upstreams()
{
  const auto response = AskEntry("/v1/status");
  if (!response) {
    return CtlExit::kUnreachable;
  }
  if (response->mStatus != kStatusOk) {
    return PrintRefusal(*response);
  }
  const json::value upstreams = FieldOf(ObjectOf(*response), "upstreams");
  if (mFormat == CtlFormat::kJson) {
    std::cout << json::serialize(upstreams) << "\n";
  } else {
    std::cout << TableOf(upstreams,
                         { "name",
                           "service",
                           "kind",
                           "state",
                           "domain",
                           "address",
                           "slots",
                           "running",
                           "waiting" });
  }
  return CtlExit::kDone;
}

CtlExit
CtlCommands::Drain(const std::string& aEntry)
{
  const auto response = AskControl("POST", "/v1/entries/" + aEntry + "/drain");
  if (!response) {
    return CtlExit::kUnreachable;
  }
  if (response->mStatus != kStatusOk) {
    return PrintRefusal(*response);
  }
  std::cout << response->mBody << "\n";
  return CtlExit::kDone;
}

CtlExit
CtlCommands::Quarantine()
{
  return PrintQuarantine(AskControl("GET", "/v1/quarantine"));
}

CtlExit
CtlCommands::Lift(const std::string& aContent)
{
  return PrintQuarantine(AskControl("DELETE", "/v1/quarantine/" + aContent));
}

CtlExit
CtlCommands::PrintRows(const std::optional<http::HttpResponse>& aResponse,
                       const std::string& aList,
                       const std::vector<std::string>& aColumns)
{
  if (!aResponse) {
    return CtlExit::kUnreachable;
  }
  if (aResponse->mStatus != kStatusOk) {
    return PrintRefusal(*aResponse);
  }
  if (mFormat == CtlFormat::kJson) {
    std::cout << aResponse->mBody << "\n";
  } else {
    std::cout << TableOf(FieldOf(ObjectOf(*aResponse), aList.c_str()),
                         aColumns);
  }
  return CtlExit::kDone;
}

CtlExit
CtlCommands::PrintQuarantine(const std::optional<http::HttpResponse>& aResponse)
{
  return PrintRows(
    aResponse, "contents", { "content", "stage", "ends_in_a_row", "ends" });
}

CtlExit
CtlCommands::Rollouts()
{
  return PrintRollouts(AskControl("GET", "/v1/rollouts"));
}

CtlExit
CtlCommands::StartRollout(const std::string& aService,
                          const std::string& aVersion,
                          std::uint64_t aSeconds)
{
  constexpr std::uint64_t kMillisecondsInSecond = 1000;
  const std::string body = json::serialize(
    json::object{ { "service", aService },
                  { "to", aVersion },
                  { "duration_ms", aSeconds * kMillisecondsInSecond } });
  const auto response = AskControl("POST", "/v1/rollouts", body);
  return response ? PrintAnswer(*response) : CtlExit::kUnreachable;
}

CtlExit
CtlCommands::AbortRollout(const std::string& aService)
{
  return PrintRollouts(AskControl("DELETE", "/v1/rollouts/" + aService));
}

CtlExit
CtlCommands::PrintRollouts(const std::optional<http::HttpResponse>& aResponse)
{
  return PrintRows(aResponse,
                   "rollouts",
                   { "id", "service", "to", "state", "duration_ms", "reason" });
}

CtlExit
CtlCommands::PrintEntryAnswer(const std::string& aPath)
{
  const auto response = AskEntry(aPath);
  if (!response) {
    return CtlExit::kUnreachable;
  }
  return PrintAnswer(*response);
}

CtlExit
CtlCommands::PrintAnswer(const http::HttpResponse& aResponse)
{
  if (aResponse.mStatus != kStatusOk) {
    return PrintRefusal(aResponse);
  }
  const json::object answer = ObjectOf(aResponse);
  if (mFormat == CtlFormat::kJson) {
    std::cout << aResponse.mBody << "\n";
    return CtlExit::kDone;
  }
  std::cout << FieldsOf(answer);
  const json::value choices = FieldOf(answer, "choices");
  if (!choices.is_array()) {
    return CtlExit::kDone;
  }
  for (const json::value& choice : choices.get_array()) {
    const json::object& fields = choice.get_object();
    std::cout << "\nattempt " << Cell(FieldOf(fields, "attempt")) << ": "
              << Cell(FieldOf(fields, "upstream")) << "\n"
              << TableOf(FieldOf(fields, "weighed"),
                         { "upstream",
                           "expected_first_token_ms",
                           "cached_tokens",
                           "latency_part",
                           "cost_part",
                           "total" });
  }
  return CtlExit::kDone;
}

CtlExit
CtlCommands::ShowRequest(const std::string& aCustomer, const std::string& aKey)
{
  return PrintEntryAnswer("/v1/records/" + aCustomer + "/" + aKey);
}

CtlExit
CtlCommands::Explain(const std::string& aCustomer, const std::string& aKey)
{
  // Choices are kept by the entries that made them: the request's executors.
  const auto answers = mClient.AskEveryEntry(
    { .mMethod = "GET", .mPath = "/v1/explain/" + aCustomer + "/" + aKey });
  for (const auto& answer : answers) {
    const json::value choices = FieldOf(ObjectOf(answer), "choices");
    const bool kept = choices.is_array() && !choices.get_array().empty();
    if (answer.mStatus != kStatusOk || kept) {
      return PrintAnswer(answer);
    }
  }
  std::cerr << (answers.empty() ? "no entry answers\n"
                                : "no entry keeps its choices any more\n");
  return answers.empty() ? CtlExit::kUnreachable : CtlExit::kRefused;
}

} // namespace peridotspool::runtime
