#include "settings/NearestName.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace peridotspool::settings {

namespace {

/** Names longer than this are not compared: the distance costs n x m steps. */
constexpr std::size_t kMaxComparedLength = 64;
constexpr std::size_t kMaxNamesListed = 12;

/** Returns the Levenshtein distance of two short names. */
std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{ 0 });
  for (std::size_t left = 1; left <= aLeft.size(); ++left) {
    std::size_t diagonal = row[0];
    row[0] = left;
    for (std::size_t right = 1; right <= aRight.size(); ++right) {
      const std::size_t replaced =
        diagonal + (aLeft[left - 1] == aRight[right - 1] ? 0 : 1);
      diagonal = row[right];
      row[right] = std::min({ replaced, row[right] + 1, row[right - 1] + 1 });
    }
  }
  return row.back();
}

} // namespace

std::optional<std::string>
NearestName(std::string_view aName, const std::vector<std::string>& aKnown)
{
  if (aName.size() > kMaxComparedLength) {
    return std::nullopt;
  }
  std::size_t best = std::max<std::size_t>(2, aName.size() / 3) + 1;
  std::optional<std::string> nearest;
  for (const std::string& known : aKnown) {
    const std::size_t distance = EditDistance(aName, known);
    if (distance < best && distance < known.size()) {
      best = distance;
      nearest = known;
    }
  }
  return nearest;
}

std::string
NearestNameHint(std::string_view aName, const std::vector<std::string>& aKnown)
{
  if (const auto nearest = NearestName(aName, aKnown)) {
    return "; did you mean '" + *nearest + "'?";
  }
  if (aKnown.empty()) {
    return "";
  }
  std::string hint = "; known here: ";
  for (std::size_t at = 0; at < aKnown.size(); ++at) {
    if (at == kMaxNamesListed) {
      return hint + ", ...";
    }
    hint += (at == 0 ? "" : ", ") + aKnown[at];
  }
  return hint;
}

} // namespace peridotspool::settings
