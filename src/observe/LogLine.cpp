#include "peridotspool/observe/LogLine.h"

#include "peridotspool/base/Overloaded.h"

#include <spdlog/fmt/fmt.h>

namespace peridotspool::observe {

namespace {

std::string_view
LevelName(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarn:
      return "warn";
    case LogLevel::kError:
      break;
  }
  return "error";
}

/**
 * Keys open the system to whoever reads the log, and logs are copied about.
 * The field's name is the one thing that shows what a value is, so fields with
 * these names never show theirs, even if a caller of Log passes them.
 */
bool
IsSecret(std::string_view aName)
{
  return aName == "api_key" || aName == "peer_key" || aName == "secret" ||
         aName == "authorization" || aName == "password";
}

void
AppendEscaped(std::string& aLine, std::string_view aText)
{
  for (const char character : aText.substr(0, kMaxLoggedBytes)) {
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      aLine += '\\';
      aLine += character;
    } else if (character == '\n') {
      aLine += "\\n";
    } else if (byte < 0x20 || byte == 0x7f) {
      aLine += fmt::format("\\u{:04x}", byte);
    } else {
      aLine += character;
    }
  }
}

std::string
Quoted(std::string_view aText)
{
  std::string quoted = "\"";
  AppendEscaped(quoted, aText);
  return quoted + "\"";
}

bool
IsBareWord(std::string_view aText)
{
  if (aText.empty() || aText.size() > kMaxLoggedBytes) {
    return false;
  }
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte <= ' ' || byte == 0x7f || character == '"' || character == '=' ||
        character == '\\') {
      return false;
    }
  }
  return true;
}

std::string
ValueText(const LogField& aField, bool aAlwaysQuote)
{
  if (IsSecret(aField.mName)) {
    return Quoted("***");
  }
  return std::visit(
    Overloaded{
      [&](const std::string& aText) {
        return !aAlwaysQuote && IsBareWord(aText) ? aText : Quoted(aText);
      },
      [](bool aValue) { return std::string(aValue ? "true" : "false"); },
      [](auto aNumber) { return fmt::format("{}", aNumber); } },
    aField.mValue);
}

} // namespace

std::string
KeyValueLine(const EventRow& aEvent,
             std::string_view aProcess,
             std::span<const LogField> aFields)
{
  std::string line = fmt::format("level={} event={} name={} process={}",
                                 LevelName(aEvent.mLevel),
                                 aEvent.Number(),
                                 aEvent.mName,
                                 aProcess);
  for (const LogField& field : aFields) {
    line += fmt::format(" {}={}", field.mName, ValueText(field, false));
  }
  return line;
}

std::string
JsonMembers(const EventRow& aEvent,
            std::string_view aProcess,
            std::span<const LogField> aFields)
{
  std::string line =
    fmt::format(R"("level":"{}","event":{},"name":"{}","process":{})",
                LevelName(aEvent.mLevel),
                aEvent.Number(),
                aEvent.mName,
                Quoted(aProcess));
  for (const LogField& field : aFields) {
    line += fmt::format(",\"{}\":{}", field.mName, ValueText(field, true));
  }
  return line;
}

} // namespace peridotspool::observe
