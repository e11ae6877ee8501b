#pragma once

#include "peridotspool/base/LastReason.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace peridotspool {

/** One replaced stretch of a text; it can be applied and undone. */
struct TextDelta
{
  std::uint64_t mOffset = 0;
  std::string mRemoved;
  std::string mInserted;

  auto operator<=>(const TextDelta&) const = default;
};
BOOST_DESCRIBE_STRUCT(TextDelta, (), (mOffset, mRemoved, mInserted))

/** Returns the one replaced stretch that turns `aFrom` into `aTo`. */
TextDelta
MakeDelta(const std::string& aFrom, const std::string& aTo);

/** Returns the changed text; empty when the delta does not fit the text. */
std::optional<std::string>
ApplyDelta(const std::string& aText,
           const TextDelta& aDelta,
           LastReason& aReason);

/** Returns the delta that undoes this one. */
TextDelta
Inverse(const TextDelta& aDelta);

/** Checksum of a settings text; equal on all processes. */
std::uint64_t
DigestOf(const std::string& aText);

} // namespace peridotspool
