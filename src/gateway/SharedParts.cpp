#include "peridotspool/gateway/SharedParts.h"

#include <xxhash.h>

#include <charconv>

namespace peridotspool::gateway {

namespace {

/** As many as fit into the longest header that callers may send. */
constexpr std::size_t kMaxParts = 2048;
constexpr int kHexadecimal = 16;

std::string_view
Trim(std::string_view aText)
{
  constexpr std::string_view kBlanks = " \t";
  const std::size_t begin = aText.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(kBlanks) + 1 - begin);
}

PromptPartId
IdOf(std::string_view aEntry)
{
  const std::string_view id = Trim(aEntry.substr(0, aEntry.rfind(':')));
  std::uint64_t value = 0;
  const char* const end = id.data() + id.size();
  const auto read = std::from_chars(id.data(), end, value, kHexadecimal);
  if (read.ec == std::errc() && read.ptr == end && value != 0) {
    return PromptPartId(value);
  }
  return PromptPartId(XXH3_64bits(id.data(), id.size()));
}

} // namespace

std::vector<PromptPartId>
ParseSharedParts(std::string_view aText)
{
  std::vector<PromptPartId> parts;
  while (!aText.empty() && parts.size() <= kMaxParts) {
    const std::string_view entry = aText.substr(0, aText.find(','));
    aText.remove_prefix(std::min(aText.size(), entry.size() + 1));
    if (!Trim(entry).empty()) {
      parts.push_back(IdOf(entry));
    }
  }
  if (!parts.empty()) {
    parts.pop_back();
  }
  return parts;
}

} // namespace peridotspool::gateway
