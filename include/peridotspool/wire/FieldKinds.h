#pragma once

#include "peridotspool/base/StrongId.h"
#include "peridotspool/base/Time.h"

#include <boost/describe/enumerators.hpp>
#include <boost/describe/members.hpp>
#include <boost/mp11.hpp>

#include <concepts>
#include <cstdint>
#include <limits>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace peridotspool::wire {

template<typename T>
struct IsNumberId : std::false_type
{
};
template<typename Tag>
struct IsNumberId<NumberId<Tag>> : std::true_type
{
};
template<typename T>
struct IsNameId : std::false_type
{
};
template<typename Tag>
struct IsNameId<NameId<Tag>> : std::true_type
{
};
template<typename T>
struct IsVariant : std::false_type
{
};
template<typename... Ts>
struct IsVariant<std::variant<Ts...>> : std::true_type
{
};
template<typename T>
struct IsPair : std::false_type
{
};
template<typename A, typename B>
struct IsPair<std::pair<A, B>> : std::true_type
{
};

template<typename T>
concept VariantField = IsVariant<T>::value;
template<typename T>
concept PairField = IsPair<T>::value;
/** Written as raw bytes. */
template<typename T>
concept TextField = std::same_as<T, std::string> || IsNameId<T>::value;
/** Written as a varint. */
template<typename T>
concept VarintField = std::integral<T> || std::is_enum_v<T> ||
  IsNumberId<T>::value || std::same_as<T, Duration>;
/** A struct described with BOOST_DESCRIBE_STRUCT. */
template<typename T>
concept DescribedField =
  boost::describe::has_describe_members<T>::value && std::is_class_v<T>;
template<typename T>
concept LengthDelimitedField =
  TextField<T> || VariantField<T> || PairField<T> || DescribedField<T>;

/** Signed numbers are zigzag-coded, so that small negative ones stay short. */
constexpr std::uint64_t
ZigZag(std::int64_t aValue)
{
  return (static_cast<std::uint64_t>(aValue) << 1) ^
         static_cast<std::uint64_t>(aValue >> 63);
}

constexpr std::int64_t
UnZigZag(std::uint64_t aImage)
{
  return static_cast<std::int64_t>(aImage >> 1) ^
         -static_cast<std::int64_t>(aImage & 1);
}

template<VarintField T>
constexpr std::uint64_t
ToVarint(const T& aValue)
{
  if constexpr (std::same_as<T, Duration>) {
    return ZigZag(aValue.count());
  } else if constexpr (IsNumberId<T>::value) {
    return aValue.Value();
  } else if constexpr (std::signed_integral<T>) {
    return ZigZag(aValue);
  } else {
    return static_cast<std::uint64_t>(aValue);
  }
}

/** Returns true iff the number names an enumerator. */
template<typename T>
bool
IsEnumerator(std::uint64_t aImage)
{
  bool found = false;
  boost::mp11::mp_for_each<boost::describe::describe_enumerators<T>>(
    [&](auto aEnumerator) {
      found = found || static_cast<std::uint64_t>(aEnumerator.value) == aImage;
    });
  return found;
}

/** Writes the value of an image; false if the type has no such value. */
template<VarintField T>
bool
FromVarint(std::uint64_t aImage, T& aValue)
{
  if constexpr (std::same_as<T, Duration>) {
    aValue = Duration(UnZigZag(aImage));
    return true;
  } else if constexpr (IsNumberId<T>::value) {
    aValue = T(aImage);
    return true;
  } else if constexpr (std::is_enum_v<T>) {
    if (!IsEnumerator<T>(aImage)) {
      return false;
    }
    aValue = static_cast<T>(aImage);
    return true;
  } else if constexpr (std::signed_integral<T>) {
    const std::int64_t value = UnZigZag(aImage);
    if (value < std::numeric_limits<T>::min() ||
        value > std::numeric_limits<T>::max()) {
      return false;
    }
    aValue = static_cast<T>(value);
    return true;
  } else {
    if (aImage > std::numeric_limits<T>::max()) {
      return false;
    }
    aValue = static_cast<T>(aImage);
    return true;
  }
}

/** Returns the raw bytes of a text or a name. */
inline const std::string&
AsText(const std::string& aText)
{
  return aText;
}

template<typename Tag>
const std::string&
AsText(const NameId<Tag>& aName)
{
  return aName.Value();
}

} // namespace peridotspool::wire
