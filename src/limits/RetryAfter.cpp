#include "peridotspool/limits/RetryAfter.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ctime>
#include <optional>
#include <string>

namespace peridotspool::limits {

namespace {

using std::chrono::sys_seconds;

/** The formats of RFC 9110, 5.6.7; recipients have to accept all of them. */
constexpr std::array<const char*, 3> kDateFormats{
  "%a, %d %b %Y %H:%M:%S GMT",
  "%A, %d-%b-%y %H:%M:%S GMT",
  "%a %b %e %H:%M:%S %Y",
};
/** No date is longer; bounds the copy. */
constexpr std::size_t kMaxDateBytes = 40;

bool
IsDecimal(std::string_view aText)
{
  const auto isDigit = [](char aOne) { return aOne >= '0' && aOne <= '9'; };
  return std::any_of(aText.begin(), aText.end(), isDigit) &&
         std::count(aText.begin(), aText.end(), '.') <= 1 &&
         std::all_of(aText.begin(), aText.end(), [&](char aOne) {
           return isDigit(aOne) || aOne == '.';
         });
}

Duration
ToDuration(double aSeconds)
{
  const double most = std::chrono::duration<double>(kMaxRetryAfter).count();
  return std::chrono::ceil<Duration>(
    std::chrono::duration<double>(std::clamp(aSeconds, 0.0, most)));
}

// A number that doesn't fit into a double is either endless or nearly zero.
std::optional<Duration>
ParseSeconds(std::string_view aText)
{
  if (!IsDecimal(aText)) {
    return std::nullopt;
  }
  double seconds = 0.0;
  const auto [rest, fault] = std::from_chars(aText.data(),
                                             aText.data() + aText.size(),
                                             seconds,
                                             std::chars_format::fixed);
  if (fault == std::errc::result_out_of_range) {
    const std::string_view whole = aText.substr(0, aText.find('.'));
    return whole.find_first_not_of('0') == std::string_view::npos
             ? Duration(0)
             : kMaxRetryAfter;
  }
  return fault == std::errc{} ? std::optional(ToDuration(seconds))
                              : std::nullopt;
}

std::optional<sys_seconds>
ParseDate(std::string_view aText)
{
  if (aText.empty() || aText.size() > kMaxDateBytes) {
    return std::nullopt;
  }
  const std::string text(aText);
  for (const char* format : kDateFormats) {
    std::tm fields{};
    const char* const end = ::strptime(text.c_str(), format, &fields);
    if (end == text.c_str() + text.size()) {
      return sys_seconds(std::chrono::seconds(::timegm(&fields)));
    }
  }
  return std::nullopt;
}

std::optional<Duration>
ParseWait(std::string_view aText, std::optional<sys_seconds> aSentAt)
{
  if (const auto wait = ParseSeconds(aText)) {
    return wait;
  }
  const auto date = ParseDate(aText);
  return date && aSentAt
           ? std::optional(ToDuration(
               std::chrono::duration<double>(*date - *aSentAt).count()))
           : std::nullopt;
}

} // namespace

RetryAfterStatement
ParseRetryAfter(const std::vector<std::string_view>& aValues,
                std::string_view aSentAt,
                std::optional<sys_seconds> aNow)
{
  if (aValues.empty()) {
    return {};
  }
  const auto date = ParseDate(aSentAt);
  const auto sentAt = date ? date : aNow;
  std::optional<Duration> longest;
  for (const std::string_view value : aValues) {
    if (const auto wait = ParseWait(value, sentAt)) {
      longest = std::max(longest.value_or(Duration(0)), *wait);
    }
  }
  if (!longest) {
    return { .mKind = RetryAfterStatement::Kind::kInvalid };
  }
  return *longest > Duration(0)
           ? RetryAfterStatement{ .mKind = RetryAfterStatement::Kind::kWait,
                                  .mWait = *longest }
           : RetryAfterStatement{};
}

} // namespace peridotspool::limits
