#include "peridotspool/base/TextDelta.h"

#include <algorithm>
#include <xxhash.h>

namespace peridotspool {

namespace {

/** Moves back to the start of a line, so that a delta holds whole lines. */
std::size_t
LineStart(const std::string& aText, std::size_t aAt)
{
  const std::size_t lineEnd = aAt == 0 ? 0 : aText.rfind('\n', aAt - 1);
  return aAt == 0 || lineEnd == std::string::npos ? 0 : lineEnd + 1;
}

std::size_t
CommonPrefix(const std::string& aFrom, const std::string& aTo)
{
  const std::size_t most = std::min(aFrom.size(), aTo.size());
  const auto end = aFrom.begin() + static_cast<std::ptrdiff_t>(most);
  const auto [from, to] = std::mismatch(aFrom.begin(), end, aTo.begin());
  return LineStart(aFrom, static_cast<std::size_t>(from - aFrom.begin()));
}

/** Length of the common end that starts at a line in both texts. */
std::size_t
CommonSuffix(const std::string& aFrom,
             const std::string& aTo,
             std::size_t aMost)
{
  std::size_t length = 0;
  while (length < aMost &&
         aFrom[aFrom.size() - length - 1] == aTo[aTo.size() - length - 1]) {
    ++length;
  }
  while (length > 0) {
    const std::size_t start = aFrom.size() - length;
    if (start == 0 || aFrom[start - 1] == '\n') {
      const std::size_t other = aTo.size() - length;
      if (other == 0 || aTo[other - 1] == '\n') {
        break;
      }
    }
    --length;
  }
  return length;
}

} // namespace

TextDelta
MakeDelta(const std::string& aFrom, const std::string& aTo)
{
  const std::size_t prefix = CommonPrefix(aFrom, aTo);
  const std::size_t most = std::min(aFrom.size(), aTo.size()) - prefix;
  const std::size_t suffix = CommonSuffix(aFrom, aTo, most);
  return TextDelta{ .mOffset = prefix,
                    .mRemoved =
                      aFrom.substr(prefix, aFrom.size() - prefix - suffix),
                    .mInserted =
                      aTo.substr(prefix, aTo.size() - prefix - suffix) };
}

std::optional<std::string>
ApplyDelta(const std::string& aText,
           const TextDelta& aDelta,
           LastReason& aReason)
{
  if (aDelta.mOffset > aText.size() ||
      aText.compare(aDelta.mOffset, aDelta.mRemoved.size(), aDelta.mRemoved) !=
        0) {
    aReason.Set("the delta was made from another text");
    return std::nullopt;
  }
  std::string changed = aText;
  changed.replace(aDelta.mOffset, aDelta.mRemoved.size(), aDelta.mInserted);
  return changed;
}

TextDelta
Inverse(const TextDelta& aDelta)
{
  return TextDelta{ .mOffset = aDelta.mOffset,
                    .mRemoved = aDelta.mInserted,
                    .mInserted = aDelta.mRemoved };
}

std::uint64_t
DigestOf(const std::string& aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

} // namespace peridotspool
