#pragma once

#include "peridotspool/base/Time.h"

#include <chrono>
#include <compare>
#include <optional>
#include <string_view>
#include <vector>

namespace peridotspool::limits {

/** Longer times are cut to this. */
constexpr Duration kMaxRetryAfter = std::chrono::hours(24);

/** What one response states in Retry-After (RFC 9110, 10.2.3). */
struct RetryAfterStatement
{
  enum class Kind
  {
    /** The response asks for no time. */
    kNone,
    kWait,
    /** The response asks for a time that can't be read. */
    kInvalid,
  };
  Kind mKind = Kind::kNone;
  /** From the arrival of the response on; positive with kWait. */
  Duration mWait{ 0 };

  auto operator<=>(const RetryAfterStatement&) const = default;
};

/**
 * Parses the values of Retry-After: seconds, which may have a fraction, or an
 * HTTP date in any of its three formats. Of several values the longest counts;
 * those that can't be read are invalid only if no other can. A time that is
 * over by now is none.
 *
 * @param aSentAt the response's Date field, from the same clock as a date in
 *   aValues; if it is no date, aNow is used
 * @param aNow the local wall clock; without it and aSentAt, dates are invalid
 */
RetryAfterStatement
ParseRetryAfter(const std::vector<std::string_view>& aValues,
                std::string_view aSentAt,
                std::optional<std::chrono::sys_seconds> aNow);

} // namespace peridotspool::limits
