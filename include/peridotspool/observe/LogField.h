#pragma once

#include "peridotspool/base/StrongId.h"
#include "peridotspool/base/Time.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace peridotspool::observe {

/** One named value of a log line. */
struct LogField
{
  using Value = std::variant<std::string, std::int64_t, double, bool>;

  std::string_view mName;
  Value mValue;

  LogField(std::string_view aName, std::string aValue)
    : mName(aName)
    , mValue(std::move(aValue))
  {
  }
  LogField(std::string_view aName, const char* aValue)
    : mName(aName)
    , mValue(std::string(aValue))
  {
  }
  LogField(std::string_view aName, bool aValue)
    : mName(aName)
    , mValue(aValue)
  {
  }
  LogField(std::string_view aName, double aValue)
    : mName(aName)
    , mValue(aValue)
  {
  }
  template<std::integral T>
  LogField(std::string_view aName, T aValue)
    : mName(aName)
    , mValue(static_cast<std::int64_t>(aValue))
  {
  }
  template<typename Tag>
  LogField(std::string_view aName, const NameId<Tag>& aValue)
    : mName(aName)
    , mValue(aValue.Value())
  {
  }
  template<typename Tag>
  LogField(std::string_view aName, NumberId<Tag> aValue)
    : mName(aName)
    , mValue(static_cast<std::int64_t>(aValue.Value()))
  {
  }
  /** In milliseconds. */
  LogField(std::string_view aName, Duration aValue)
    : mName(aName)
    , mValue(static_cast<double>(aValue.count()) / 1000.0)
  {
  }
};

} // namespace peridotspool::observe
