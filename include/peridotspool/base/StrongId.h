#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace peridotspool {

/** A number that names one kind of thing; ids of other kinds do not mix. */
template<typename Tag>
class NumberId
{
public:
  constexpr NumberId() = default;
  constexpr explicit NumberId(std::uint64_t aValue)
    : mValue(aValue)
  {
  }

  constexpr std::uint64_t Value() const { return mValue; }
  /** Returns true iff the id was given; zero stands for "none". */
  constexpr bool IsSet() const { return mValue != 0; }
  constexpr NumberId Next() const { return NumberId(mValue + 1); }

  constexpr auto operator<=>(const NumberId&) const = default;

private:
  std::uint64_t mValue = 0;
};

/** A text that names one kind of thing; names of other kinds do not mix. */
template<typename Tag>
class NameId
{
public:
  NameId() = default;
  explicit NameId(std::string aValue)
    : mValue(std::move(aValue))
  {
  }

  const std::string& Value() const { return mValue; }
  bool IsSet() const { return !mValue.empty(); }

  auto operator<=>(const NameId&) const = default;

private:
  std::string mValue;
};

} // namespace peridotspool

template<typename Tag>
struct std::hash<peridotspool::NumberId<Tag>>
{
  std::size_t operator()(const peridotspool::NumberId<Tag>& aId) const noexcept
  {
    return std::hash<std::uint64_t>{}(aId.Value());
  }
};

template<typename Tag>
struct std::hash<peridotspool::NameId<Tag>>
{
  std::size_t operator()(const peridotspool::NameId<Tag>& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.Value());
  }
};
