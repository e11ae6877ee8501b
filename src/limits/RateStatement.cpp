#include "peridotspool/limits/RateStatement.h"

#include <charconv>
#include <cmath>

namespace peridotspool::limits {

namespace {

/** Smaller or larger numbers can't be rates of an upstream. */
constexpr double kMinPerSecond = 0.001;
constexpr double kMaxPerSecond = 1e6;

} // namespace

RateStatement
ParseRateStatement(const std::vector<std::string_view>& aValues)
{
  if (aValues.empty()) {
    return {};
  }
  constexpr RateStatement kInvalid{ .mKind = RateStatement::Kind::kInvalid };
  const std::string_view text = aValues.front();
  const char* const end = text.data() + text.size();
  double rate = 0.0;
  const auto [rest, fault] =
    std::from_chars(text.data(), end, rate, std::chars_format::fixed);
  if (aValues.size() > 1 || fault != std::errc{} || rest != end ||
      !std::isfinite(rate) || rate < kMinPerSecond || rate > kMaxPerSecond) {
    return kInvalid;
  }
  return { .mKind = RateStatement::Kind::kLimit, .mPerSecond = rate };
}

} // namespace peridotspool::limits
