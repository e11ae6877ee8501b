#pragma once

/**
 * One codec for each kind of field that a message may have; see Codec.h.
 *
 * Every kind offers the size of a field with its tag, writing it, and reading
 * it once its tag is known. Reading returns false on malformed bytes and never
 * throws.
 */

#include "peridotspool/base/StrongId.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/wire/FieldKinds.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

#include <boost/describe/members.hpp>
#include <boost/mp11.hpp>

#include <bit>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace peridotspool::wire {

using google::protobuf::internal::WireFormatLite;
using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;

template<typename T>
struct FieldCodec;

/** Returns the size of a message's fields, without a length before them. */
template<typename T>
std::size_t
FieldsSize(const T& aMessage);
template<typename T>
void
WriteFields(CodedOutputStream& aOutput, const T& aMessage);
/** Reads fields up to the end of the input or of the current limit. */
template<typename T>
bool
ReadFields(CodedInputStream& aInput, T& aMessage);

inline std::uint32_t
MakeTag(int aField, WireFormatLite::WireType aType)
{
  return WireFormatLite::MakeTag(aField, aType);
}

/** Numbers, enums, ids and durations: a varint of a 64-bit image. */
template<VarintField T>
struct FieldCodec<T>
{
  static std::size_t Size(int aField, const T& aValue)
  {
    return CodedOutputStream::VarintSize32(Tag(aField)) +
           CodedOutputStream::VarintSize64(ToVarint(aValue));
  }
  static void Write(CodedOutputStream& aOutput, int aField, const T& aValue)
  {
    aOutput.WriteTag(Tag(aField));
    aOutput.WriteVarint64(ToVarint(aValue));
  }
  static bool Read(CodedInputStream& aInput, std::uint32_t aTag, T& aValue)
  {
    std::uint64_t image = 0;
    if (!IsVarint(aTag) || !aInput.ReadVarint64(&image)) {
      return false;
    }
    return FromVarint(image, aValue);
  }

private:
  static std::uint32_t Tag(int aField)
  {
    return MakeTag(aField, WireFormatLite::WIRETYPE_VARINT);
  }
  static bool IsVarint(std::uint32_t aTag)
  {
    return WireFormatLite::GetTagWireType(aTag) ==
           WireFormatLite::WIRETYPE_VARINT;
  }
};

template<>
struct FieldCodec<double>
{
  static std::size_t Size(int aField, double /*aValue*/)
  {
    return CodedOutputStream::VarintSize32(Tag(aField)) + sizeof(double);
  }
  static void Write(CodedOutputStream& aOutput, int aField, double aValue)
  {
    aOutput.WriteTag(Tag(aField));
    aOutput.WriteLittleEndian64(std::bit_cast<std::uint64_t>(aValue));
  }
  static bool Read(CodedInputStream& aInput, std::uint32_t aTag, double& aValue)
  {
    std::uint64_t image = 0;
    if (WireFormatLite::GetTagWireType(aTag) !=
          WireFormatLite::WIRETYPE_FIXED64 ||
        !aInput.ReadLittleEndian64(&image)) {
      return false;
    }
    aValue = std::bit_cast<double>(image);
    return true;
  }

private:
  static std::uint32_t Tag(int aField)
  {
    return MakeTag(aField, WireFormatLite::WIRETYPE_FIXED64);
  }
};

/** Everything that is written as a length and that many bytes. */
template<LengthDelimitedField T>
struct FieldCodec<T>
{
  static std::size_t Size(int aField, const T& aValue)
  {
    const std::size_t size = ContentSize(aValue);
    return CodedOutputStream::VarintSize32(Tag(aField)) +
           CodedOutputStream::VarintSize64(size) + size;
  }
  static void Write(CodedOutputStream& aOutput, int aField, const T& aValue)
  {
    aOutput.WriteTag(Tag(aField));
    aOutput.WriteVarint64(ContentSize(aValue));
    WriteContent(aOutput, aValue);
  }
  static bool Read(CodedInputStream& aInput, std::uint32_t aTag, T& aValue)
  {
    std::uint32_t size = 0;
    if (WireFormatLite::GetTagWireType(aTag) !=
          WireFormatLite::WIRETYPE_LENGTH_DELIMITED ||
        !aInput.ReadVarint32(&size)) {
      return false;
    }
    return ReadContent(aInput, size, aValue);
  }

private:
  static std::uint32_t Tag(int aField)
  {
    return MakeTag(aField, WireFormatLite::WIRETYPE_LENGTH_DELIMITED);
  }
  static std::size_t ContentSize(const T& aValue)
  {
    if constexpr (TextField<T>) {
      return AsText(aValue).size();
    } else {
      return FieldsSize(aValue);
    }
  }
  static void WriteContent(CodedOutputStream& aOutput, const T& aValue)
  {
    if constexpr (TextField<T>) {
      aOutput.WriteString(AsText(aValue));
    } else {
      WriteFields(aOutput, aValue);
    }
  }
  static bool ReadContent(CodedInputStream& aInput,
                          std::uint32_t aSize,
                          T& aValue)
  {
    if constexpr (TextField<T>) {
      std::string text;
      if (!aInput.ReadString(&text, static_cast<int>(aSize))) {
        return false;
      }
      aValue = T(std::move(text));
      return true;
    } else {
      // A length beyond the enclosing message would let a damaged inner
      // message swallow its neighbours' fields.
      if (static_cast<int>(aSize) < 0 ||
          (aInput.BytesUntilLimit() >= 0 &&
           static_cast<int>(aSize) > aInput.BytesUntilLimit())) {
        return false;
      }
      const auto limit = aInput.PushLimit(static_cast<int>(aSize));
      const bool whole =
        ReadFields(aInput, aValue) && aInput.BytesUntilLimit() == 0;
      aInput.PopLimit(limit);
      return whole;
    }
  }
};

/** Absent fields stay empty. */
template<typename T>
struct FieldCodec<std::optional<T>>
{
  static std::size_t Size(int aField, const std::optional<T>& aValue)
  {
    return aValue ? FieldCodec<T>::Size(aField, *aValue) : 0;
  }
  static void Write(CodedOutputStream& aOutput,
                    int aField,
                    const std::optional<T>& aValue)
  {
    if (aValue) {
      FieldCodec<T>::Write(aOutput, aField, *aValue);
    }
  }
  static bool Read(CodedInputStream& aInput,
                   std::uint32_t aTag,
                   std::optional<T>& aValue)
  {
    return FieldCodec<T>::Read(aInput, aTag, aValue.emplace());
  }
};

/** One field for each element. */
template<typename T>
struct FieldCodec<std::vector<T>>
{
  static std::size_t Size(int aField, const std::vector<T>& aValues)
  {
    std::size_t size = 0;
    for (const T& value : aValues) {
      size += FieldCodec<T>::Size(aField, value);
    }
    return size;
  }
  static void Write(CodedOutputStream& aOutput,
                    int aField,
                    const std::vector<T>& aValues)
  {
    for (const T& value : aValues) {
      FieldCodec<T>::Write(aOutput, aField, value);
    }
  }
  static bool Read(CodedInputStream& aInput,
                   std::uint32_t aTag,
                   std::vector<T>& aValues)
  {
    T value{};
    if (!FieldCodec<T>::Read(aInput, aTag, value)) {
      return false;
    }
    aValues.push_back(std::move(value));
    return true;
  }
};

/** One field for each pair: a message of key (1) and value (2). */
template<typename K, typename V>
struct FieldCodec<std::map<K, V>>
{
  using Pair = std::pair<K, V>;

  static std::size_t Size(int aField, const std::map<K, V>& aValues)
  {
    std::size_t size = 0;
    for (const auto& [key, value] : aValues) {
      size += FieldCodec<Pair>::Size(aField, Pair(key, value));
    }
    return size;
  }
  static void Write(CodedOutputStream& aOutput,
                    int aField,
                    const std::map<K, V>& aValues)
  {
    for (const auto& [key, value] : aValues) {
      FieldCodec<Pair>::Write(aOutput, aField, Pair(key, value));
    }
  }
  static bool Read(CodedInputStream& aInput,
                   std::uint32_t aTag,
                   std::map<K, V>& aValues)
  {
    Pair pair;
    if (!FieldCodec<Pair>::Read(aInput, aTag, pair)) {
      return false;
    }
    aValues.insert_or_assign(std::move(pair.first), std::move(pair.second));
    return true;
  }
};

/**
 * Calls aVisit(number, member) for each field of a message until one call
 * returns false; returns false iff one did.
 */
template<typename T, typename Visit>
bool
VisitFields(T& aMessage, Visit aVisit)
{
  using Plain = std::remove_const_t<T>;
  int number = 0;
  bool goOn = true;
  if constexpr (PairField<Plain>) {
    goOn = aVisit(1, aMessage.first) && aVisit(2, aMessage.second);
  } else {
    using Members =
      boost::describe::describe_members<Plain, boost::describe::mod_public>;
    boost::mp11::mp_for_each<Members>([&](auto aMember) {
      ++number;
      goOn = goOn && aVisit(number, aMessage.*aMember.pointer);
    });
  }
  return goOn;
}

template<typename T>
std::size_t
FieldsSize(const T& aMessage)
{
  std::size_t size = 0;
  if constexpr (VariantField<T>) {
    const int number = static_cast<int>(aMessage.index()) + 1;
    std::visit(
      [&](const auto& aAlternative) {
        using Alternative = std::decay_t<decltype(aAlternative)>;
        size = FieldCodec<Alternative>::Size(number, aAlternative);
      },
      aMessage);
  } else {
    VisitFields(aMessage, [&](int aNumber, const auto& aMember) {
      using Member = std::decay_t<decltype(aMember)>;
      size += FieldCodec<Member>::Size(aNumber, aMember);
      return true;
    });
  }
  return size;
}

template<typename T>
void
WriteFields(CodedOutputStream& aOutput, const T& aMessage)
{
  if constexpr (VariantField<T>) {
    const int number = static_cast<int>(aMessage.index()) + 1;
    std::visit(
      [&](const auto& aAlternative) {
        using Alternative = std::decay_t<decltype(aAlternative)>;
        FieldCodec<Alternative>::Write(aOutput, number, aAlternative);
      },
      aMessage);
  } else {
    VisitFields(aMessage, [&](int aNumber, const auto& aMember) {
      using Member = std::decay_t<decltype(aMember)>;
      FieldCodec<Member>::Write(aOutput, aNumber, aMember);
      return true;
    });
  }
}

/** Reads the alternative of that field number; false if there is none. */
template<typename T>
bool
ReadAlternative(CodedInputStream& aInput, std::uint32_t aTag, T& aVariant)
{
  const auto index =
    static_cast<std::size_t>(WireFormatLite::GetTagFieldNumber(aTag)) - 1;
  if (index >= std::variant_size_v<T>) {
    return false;
  }
  return boost::mp11::mp_with_index<std::variant_size_v<T>>(
    index, [&](auto aIndex) {
      using Alternative = std::variant_alternative_t<aIndex, T>;
      Alternative alternative{};
      if (!FieldCodec<Alternative>::Read(aInput, aTag, alternative)) {
        return false;
      }
      aVariant.template emplace<aIndex>(std::move(alternative));
      return true;
    });
}

/** Reads the member of that field number; skips a number it doesn't know. */
template<typename T>
bool
ReadMember(CodedInputStream& aInput, std::uint32_t aTag, T& aMessage)
{
  const int wanted = WireFormatLite::GetTagFieldNumber(aTag);
  bool known = false;
  const bool good = VisitFields(aMessage, [&](int aNumber, auto& aMember) {
    if (aNumber != wanted) {
      return true;
    }
    known = true;
    using Member = std::decay_t<decltype(aMember)>;
    return FieldCodec<Member>::Read(aInput, aTag, aMember);
  });
  return known ? good : WireFormatLite::SkipField(&aInput, aTag);
}

template<typename T>
bool
ReadFields(CodedInputStream& aInput, T& aMessage)
{
  bool any = false;
  while (const std::uint32_t tag = aInput.ReadTag()) {
    bool good = false;
    if constexpr (VariantField<T>) {
      good = !any && ReadAlternative(aInput, tag, aMessage);
    } else {
      good = ReadMember(aInput, tag, aMessage);
    }
    if (!good) {
      return false;
    }
    any = true;
  }
  return any || !VariantField<T>;
}

} // namespace peridotspool::wire
