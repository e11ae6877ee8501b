#include "settings/Quantity.h"

#include <array>
#include <charconv>
#include <cmath>
#include <span>
#include <string>

namespace peridotspool::settings {

namespace {

struct Unit
{
  std::string_view mName;
  double mFactor;
};

constexpr double kSecond = 1e6;
constexpr std::array<Unit, 5> kDurationUnits{ { { "us", 1 },
                                                { "ms", 1e3 },
                                                { "s", kSecond },
                                                { "min", 60 * kSecond },
                                                { "h", 3600 * kSecond } } };
constexpr std::array<Unit, 4> kByteUnits{ { { "B", 1 },
                                            { "KiB", 1024.0 },
                                            { "MiB", 1024.0 * 1024 },
                                            { "GiB", 1024.0 * 1024 * 1024 } } };
constexpr std::array<Unit, 3> kRateUnits{
  { { "/s", 1 }, { "/min", 1.0 / 60 }, { "/h", 1.0 / 3600 } }
};
constexpr std::array<Unit, 1> kShareUnits{ { { "%", 0.01 } } };
constexpr std::array<Unit, 1> kNoUnits{ { { "", 1 } } };

std::span<const Unit>
UnitsOf(ValueKind aKind)
{
  switch (aKind) {
    case ValueKind::kDuration:
      return kDurationUnits;
    case ValueKind::kBytes:
      return kByteUnits;
    case ValueKind::kRate:
      return kRateUnits;
    case ValueKind::kShare:
      return kShareUnits;
    default:
      return kNoUnits;
  }
}

std::string_view
Expectation(ValueKind aKind)
{
  switch (aKind) {
    case ValueKind::kDuration:
      return "a duration with a unit (us, ms, s, min, h), such as 440ms";
    case ValueKind::kBytes:
      return "a size with a unit (B, KiB, MiB, GiB), such as 2MiB";
    case ValueKind::kRate:
      return "a rate with a unit (/s, /min, /h), such as 20/s";
    case ValueKind::kShare:
      return "a share with its unit, such as 10%";
    case ValueKind::kInteger:
      return "a whole number, such as 3";
    default:
      return "a number, such as 2.5";
  }
}

} // namespace

std::optional<double>
ReadQuantity(ValueKind aKind, std::string_view aText, LastReason& aReason)
{
  double number = 0;
  const char* const end = aText.data() + aText.size();
  const auto [rest, fault] = std::from_chars(aText.data(), end, number);
  if (fault == std::errc{} && std::isfinite(number)) {
    const std::string_view unitName(rest, static_cast<std::size_t>(end - rest));
    for (const Unit& unit : UnitsOf(aKind)) {
      if (unit.mName == unitName) {
        return number * unit.mFactor;
      }
    }
  }
  aReason.Set("expected " + std::string(Expectation(aKind)) + ", found '" +
              std::string(aText.substr(0, 40)) + "'");
  return std::nullopt;
}

} // namespace peridotspool::settings
