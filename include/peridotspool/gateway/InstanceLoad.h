#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace peridotspool::gateway {

/** What an upstream states of its load in a response. */
struct InstanceLoad
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  /** Number of requests that it runs at once. */
  std::optional<std::uint32_t> mSlots;
  /** How long work takes on its machine now; 100 means as usual. */
  std::optional<std::uint32_t> mSlownessPercent;

  auto operator<=>(const InstanceLoad&) const = default;
};

/**
 * Parses a load header such as "3,0,8,250". Returns empty iff the first two
 * figures can't be read. A later figure that can't be read counts as missing;
 * figures after the fourth are ignored.
 */
std::optional<InstanceLoad>
ParseInstanceLoad(std::string_view aText);

} // namespace peridotspool::gateway
