#include "peridotspool/http/Uri.h"

#include <cctype>
#include <optional>

namespace peridotspool::http {

namespace {

std::optional<int>
HexDigit(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  if (aDigit >= 'a' && aDigit <= 'f') {
    return aDigit - 'a' + 10;
  }
  if (aDigit >= 'A' && aDigit <= 'F') {
    return aDigit - 'A' + 10;
  }
  return std::nullopt;
}

bool
IsUnreserved(char aCharacter)
{
  const auto byte = static_cast<unsigned char>(aCharacter);
  return (byte < 0x80 && std::isalnum(byte) != 0) || aCharacter == '-' ||
         aCharacter == '.' || aCharacter == '_' || aCharacter == '~';
}

} // namespace

std::string
PercentDecode(std::string_view aText)
{
  std::string decoded;
  decoded.reserve(aText.size());
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      const auto high = HexDigit(aText[i + 1]);
      const auto low = HexDigit(aText[i + 2]);
      if (high && low) {
        decoded += static_cast<char>(*high * 16 + *low);
        i += 2;
        continue;
      }
    }
    decoded += aText[i];
  }
  return decoded;
}

std::string
PercentEncode(std::string_view aText)
{
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : aText) {
    if (IsUnreserved(character)) {
      encoded += character;
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    encoded += '%';
    encoded += kDigits[byte >> 4];
    encoded += kDigits[byte & 15];
  }
  return encoded;
}

std::map<std::string, std::string>
ParseQuery(std::string_view aQuery)
{
  std::map<std::string, std::string> parameters;
  while (!aQuery.empty()) {
    const std::string_view part = aQuery.substr(0, aQuery.find('&'));
    aQuery.remove_prefix(std::min(part.size() + 1, aQuery.size()));
    const std::size_t equals = part.find('=');
    const std::string_view name = part.substr(0, equals);
    if (name.empty()) {
      continue;
    }
    const std::string_view value =
      equals == std::string_view::npos ? "" : part.substr(equals + 1);
    parameters[PercentDecode(name)] = PercentDecode(value);
  }
  return parameters;
}

std::string
FormatQuery(const std::map<std::string, std::string>& aParameters)
{
  std::string query;
  for (const auto& [name, value] : aParameters) {
    query += query.empty() ? "" : "&";
    query += PercentEncode(name) + "=" + PercentEncode(value);
  }
  return query;
}

} // namespace peridotspool::http
