#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/streams/StreamOrigin.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace peridotspool::streams {

/** The origin of one stream, as it is replicated. */
struct OriginRecord
{
  StreamKey mKey;
  OriginAnswer mAnswer;

  auto operator<=>(const OriginRecord&) const = default;
};
BOOST_DESCRIBE_STRUCT(OriginRecord, (), (mKey, mAnswer))

/** Asks an entry to hold records. */
struct OriginWrite
{
  /** Echoed in the acknowledgement; 0 asks for none. */
  std::uint64_t mTag = 0;
  std::vector<OriginRecord> mRecords;

  auto operator<=>(const OriginWrite&) const = default;
};
BOOST_DESCRIBE_STRUCT(OriginWrite, (), (mTag, mRecords))

struct OriginAck
{
  std::uint64_t mTag = 0;

  auto operator<=>(const OriginAck&) const = default;
};
BOOST_DESCRIBE_STRUCT(OriginAck, (), (mTag))

/** Asks an entry for the origin of a stream. */
struct OriginQuery
{
  std::uint64_t mTag = 0;
  StreamKey mKey;

  auto operator<=>(const OriginQuery&) const = default;
};
BOOST_DESCRIBE_STRUCT(OriginQuery, (), (mTag, mKey))

struct OriginResponse
{
  std::uint64_t mTag = 0;
  OriginAnswer mAnswer;

  auto operator<=>(const OriginResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(OriginResponse, (), (mTag, mAnswer))

using OriginMessage =
  std::variant<OriginWrite, OriginAck, OriginQuery, OriginResponse>;

struct AddressedOriginMessage
{
  Address mTo;
  OriginMessage mMessage;
};

} // namespace peridotspool::streams
