#pragma once

#include <compare>
#include <string_view>
#include <vector>

namespace peridotspool::limits {

/** What one response of an upstream states about the upstream's rate limit. */
struct RateStatement
{
  enum class Kind
  {
    /** The response states no limit. */
    kNone,
    kLimit,
    /** The response states a limit that can't be read. */
    kInvalid,
  };
  Kind mKind = Kind::kNone;
  /**
   * Requests per second that the upstream accepts from all entries together;
   * set with kLimit.
   */
  double mPerSecond = 0.0;

  auto operator<=>(const RateStatement&) const = default;
};

/**
 * Parses the values of the header field that states a limit. A limit is one
 * positive decimal number; repeated fields are invalid.
 */
RateStatement
ParseRateStatement(const std::vector<std::string_view>& aValues);

} // namespace peridotspool::limits
