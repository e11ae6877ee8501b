#include "http/HeadScanner.h"

#include <algorithm>

namespace peridotspool::http {

namespace {

/** Returns true iff the character may be part of a field's name (RFC 9110,
 * 5.6.2). */
bool
IsTokenCharacter(char aCharacter)
{
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return (aCharacter >= '0' && aCharacter <= '9') ||
         (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         kMarks.find(aCharacter) != std::string_view::npos;
}

bool
BeginsWithName(std::string_view aLine)
{
  const std::string_view name = aLine.substr(0, aLine.find(':'));
  return name.size() < aLine.size() && !name.empty() &&
         std::all_of(name.begin(), name.end(), IsTokenCharacter);
}

} // namespace

std::optional<std::size_t>
HeadScanner::FindEnd(std::string_view aBytes)
{
  constexpr std::string_view kEnd = "\r\n\r\n";
  for (; mScanned < aBytes.size(); ++mScanned) {
    if (aBytes[mScanned] != '\n') {
      continue;
    }
    ++mLines;
    if (aBytes.substr(0, mScanned + 1).ends_with(kEnd)) {
      return ++mScanned;
    }
  }
  return std::nullopt;
}

bool
HeadScanner::CanBeHttp(std::string_view aBytes)
{
  constexpr std::string_view kVersion = "HTTP/1.";
  const std::size_t size = std::min(aBytes.size(), kVersion.size());
  return aBytes.substr(0, size) == kVersion.substr(0, size);
}

// A parser joins a continuation line with the line before it. A field that was
// meant, such as the body's length, would be lost, and the line passed on as
// part of another one.
bool
HeadScanner::HasFieldNames(std::string_view aHead)
{
  constexpr std::string_view kLineEnd = "\r\n";
  std::size_t at = aHead.find(kLineEnd);
  while (at != std::string_view::npos) {
    aHead.remove_prefix(at + kLineEnd.size());
    at = aHead.find(kLineEnd);
    if (at == 0) {
      return true;
    }
    if (!BeginsWithName(aHead.substr(0, at))) {
      return false;
    }
  }
  return false;
}

} // namespace peridotspool::http
