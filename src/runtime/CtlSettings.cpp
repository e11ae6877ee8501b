// The settings commands of peridotctl.

#include "http/JsonFields.h"
#include "peridotspool/runtime/CtlCommands.h"
#include "peridotspool/runtime/KeyFiles.h"
#include "peridotspool/settings/SettingsDiff.h"
#include "peridotspool/settings/SettingsEdit.h"
#include "peridotspool/settings/SettingsTree.h"
#include "peridotspool/wire/PeerAuth.h"
#include "runtime/TextTable.h"

#include <boost/json.hpp>

#include <iostream>

namespace peridotspool::runtime {

namespace json = boost::json;

namespace {

constexpr std::uint32_t kStatusOk = 200;
constexpr std::uint32_t kStatusConflict = 409;
constexpr std::uint32_t kStatusUnprocessable = 422;
constexpr std::size_t kMaxTreeBytes = 4U << 20;
/** How long an edit may take until it is in force everywhere. */
constexpr int kInForceWaitMs = 7000;

std::string
Text(const json::object& aFields, const char* aName)
{
  return http::TextField(aFields, aName).value_or("");
}

std::uint64_t
Number(const json::object& aFields, const char* aName)
{
  return http::UnsignedField(aFields, aName).value_or(0);
}

json::object
FieldsOf(const http::HttpResponse& aResponse)
{
  const auto data = http::ParseJson(aResponse.mBody);
  const json::object* fields = data ? data->if_object() : nullptr;
  return fields == nullptr ? json::object() : *fields;
}

std::shared_ptr<const settings::SettingsTree>
ParseTree(const std::string& aText, const std::string& aName)
{
  settings::SettingsErrors errors;
  auto tree = settings::SettingsTree::Parse(aText, aName, errors);
  if (!tree) {
    std::cerr << settings::ToText(errors) << "\n";
  }
  return tree;
}

} // namespace

std::optional<CtlCommands::SettingsText>
CtlCommands::FetchSettings()
{
  const auto response = AskControl("GET", "/v1/settings");
  if (!response || response->mStatus != kStatusOk) {
    if (response) {
      std::cerr << response->mBody << "\n";
    }
    return std::nullopt;
  }
  const json::object fields = FieldsOf(*response);
  return SettingsText{ Number(fields, "revision"), Text(fields, "text") };
}

CtlExit
CtlCommands::SettingsGet(const std::string& aPath)
{
  const auto current = FetchSettings();
  if (!current) {
    return CtlExit::kUnreachable;
  }
  if (aPath.empty()) {
    std::cout << "# revision " << current->mRevision << "\n" << current->mText;
    return CtlExit::kDone;
  }
  const auto tree = ParseTree(current->mText, "settings");
  const auto value = tree ? tree->ValueAt(aPath) : std::nullopt;
  if (!value) {
    std::cerr << "no such setting: " << aPath << "\n";
    return CtlExit::kRefused;
  }
  if (mFormat == CtlFormat::kJson) {
    std::cout << json::serialize(json::object{ { "path", aPath },
                                               { "value", value->mValue },
                                               { "from", value->mFrom } })
              << "\n";
  } else {
    std::cout << value->mValue << "  (from " << value->mFrom << ")\n";
  }
  return CtlExit::kDone;
}

CtlExit
CtlCommands::SettingsSet(const std::string& aPath, const std::string& aValue)
{
  const auto current = FetchSettings();
  if (!current) {
    return CtlExit::kUnreachable;
  }
  settings::SettingsErrors errors;
  const auto text = settings::SetValue(current->mText, aPath, aValue, errors);
  if (!text) {
    std::cerr << settings::ToText(errors) << "\n";
    return CtlExit::kInvalid;
  }
  return Commit(current->mRevision, *text);
}

CtlExit
CtlCommands::SettingsApply(const std::string& aFile, std::uint64_t aBase)
{
  LastReason reason;
  const auto text = ReadSmallFile(aFile, kMaxTreeBytes, reason);
  if (!text) {
    std::cerr << reason.Text() << "\n";
    return CtlExit::kInvalid;
  }
  if (!ParseTree(*text, aFile)) {
    return CtlExit::kInvalid;
  }
  return Commit(aBase, *text);
}

CtlExit
CtlCommands::Commit(std::uint64_t aBase, const std::string& aText)
{
  const json::object edit{ { "edit", wire::ToHex(wire::MakeNonce()) },
                           { "base", aBase },
                           { "text", aText } };
  const auto response =
    AskControl("PUT", "/v1/settings", json::serialize(edit));
  if (!response) {
    return CtlExit::kUnreachable;
  }
  const json::object answer = FieldsOf(*response);
  if (response->mStatus == kStatusConflict) {
    std::cerr << "conflict: revision " << Number(answer, "revision")
              << " was made by edit " << Text(answer, "winner")
              << "; read the settings again and repeat the change\n";
    return CtlExit::kConflict;
  }
  if (response->mStatus == kStatusUnprocessable) {
    std::cerr << Text(answer, "reason") << "\n";
    return CtlExit::kInvalid;
  }
  if (response->mStatus != kStatusOk) {
    std::cerr << response->mBody << "\n";
    return CtlExit::kRefused;
  }
  return WaitInForce(Number(answer, "revision"));
}

CtlExit
CtlCommands::WaitInForce(std::uint64_t aRevision)
{
  const auto response =
    AskControl("GET",
               "/v1/settings/in-force?revision=" + std::to_string(aRevision) +
                 "&wait_ms=" + std::to_string(kInForceWaitMs));
  if (!response || response->mStatus != kStatusOk) {
    std::cerr << "committed as revision " << aRevision
              << ", but nobody tells whether it is in force\n";
    return CtlExit::kNotInForce;
  }
  const json::object answer = FieldsOf(*response);
  const bool everywhere = http::BoolField(answer, "in_force").value_or(false);
  if (mFormat == CtlFormat::kJson) {
    std::cout << response->mBody << "\n";
  } else {
    std::cout << "revision " << aRevision << " committed, "
              << (everywhere ? "in force everywhere\n"
                             : "not yet in force at: ");
    if (!everywhere) {
      const json::value* missing = answer.if_contains("missing");
      std::cout << (missing == nullptr ? "?" : json::serialize(*missing))
                << "\n";
    }
  }
  return everywhere ? CtlExit::kDone : CtlExit::kNotInForce;
}

CtlExit
CtlCommands::SettingsDiff(std::uint64_t aFrom, std::uint64_t aTo)
{
  const auto response =
    AskControl("GET",
               "/v1/settings/diff?from=" + std::to_string(aFrom) +
                 "&to=" + std::to_string(aTo));
  if (!response) {
    return CtlExit::kUnreachable;
  }
  if (response->mStatus != kStatusOk) {
    std::cerr << response->mBody << "\n";
    return CtlExit::kRefused;
  }
  const json::object answer = FieldsOf(*response);
  const auto from = ParseTree(Text(answer, "from"), "from");
  const auto to = ParseTree(Text(answer, "to"), "to");
  if (!from || !to) {
    return CtlExit::kInvalid;
  }
  std::vector<std::vector<std::string>> rows{ { "path", "before", "after" } };
  for (const auto& change : settings::Diff(*from, *to)) {
    rows.push_back({ change.mPath,
                     change.mBefore.value_or("(not written)"),
                     change.mAfter.value_or("(not written)") });
  }
  std::cout << FormatTable(rows);
  return CtlExit::kDone;
}

CtlExit
CtlCommands::SettingsHistory()
{
  const auto response = AskControl("GET", "/v1/settings/history?limit=50");
  if (!response) {
    return CtlExit::kUnreachable;
  }
  if (mFormat == CtlFormat::kJson) {
    std::cout << response->mBody << "\n";
    return CtlExit::kDone;
  }
  std::vector<std::vector<std::string>> rows{
    { "revision", "author", "edit" }
  };
  const json::object answer = FieldsOf(*response);
  const json::value* changes = answer.if_contains("changes");
  if (changes != nullptr && changes->is_array()) {
    for (const json::value& change : changes->get_array()) {
      const json::object& fields = change.get_object();
      rows.push_back({ std::to_string(Number(fields, "revision")),
                       Text(fields, "author"),
                       Text(fields, "edit") });
    }
  }
  std::cout << FormatTable(rows);
  return CtlExit::kDone;
}

CtlExit
CtlCommands::SettingsCheck(const std::string& aFile)
{
  LastReason reason;
  const auto text = ReadSmallFile(aFile, kMaxTreeBytes, reason);
  if (!text) {
    std::cerr << reason.Text() << "\n";
    return CtlExit::kInvalid;
  }
  if (!ParseTree(*text, aFile)) {
    return CtlExit::kInvalid;
  }
  std::cout << aFile << ": good\n";
  return CtlExit::kDone;
}

} // namespace peridotspool::runtime
