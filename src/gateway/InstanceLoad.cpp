#include "peridotspool/gateway/InstanceLoad.h"

#include "peridotspool/gateway/HeaderRules.h"

namespace peridotspool::gateway {

namespace {

/** Longer than any header of readable figures. */
constexpr std::size_t kMaxText = 128;
/** Larger figures are no load of one upstream. */
constexpr std::uint64_t kMaxFigure = 1000000;

std::optional<std::uint32_t>
ReadFigure(std::string_view aText)
{
  const std::size_t first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return std::nullopt;
  }
  const std::size_t last = aText.find_last_not_of(" \t");
  const auto number = ReadNumber(aText.substr(first, last - first + 1));
  return number && *number <= kMaxFigure
           ? std::optional(static_cast<std::uint32_t>(*number))
           : std::nullopt;
}

std::optional<std::uint32_t>
NonZero(std::optional<std::uint32_t> aFigure)
{
  return aFigure == 0U ? std::nullopt : aFigure;
}

/** Removes the first figure from the text and returns it. */
std::optional<std::uint32_t>
TakeFigure(std::string_view& aText)
{
  const std::size_t end = aText.find(',');
  const std::string_view figure = aText.substr(0, end);
  aText =
    end == std::string_view::npos ? std::string_view() : aText.substr(end + 1);
  return ReadFigure(figure);
}

} // namespace

std::optional<InstanceLoad>
ParseInstanceLoad(std::string_view aText)
{
  if (aText.size() > kMaxText) {
    return std::nullopt;
  }
  const auto running = TakeFigure(aText);
  const auto waiting = TakeFigure(aText);
  if (!running || !waiting) {
    return std::nullopt;
  }
  InstanceLoad load{ .mRunning = *running, .mWaiting = *waiting };
  load.mSlots = NonZero(TakeFigure(aText));
  load.mSlownessPercent = NonZero(TakeFigure(aText));
  return load;
}

} // namespace peridotspool::gateway
