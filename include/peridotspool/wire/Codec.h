#pragma once

/**
 * Writes and reads the described message structs in protobuf's wire format.
 *
 * A struct that BOOST_DESCRIBE_STRUCT describes is a message: its members are
 * fields numbered from 1 in the order of description. A variant is a message
 * with one field, numbered by the alternative's place. Members may be added at
 * a struct's end: an older reader skips them, a newer one keeps their default.
 */

#include "peridotspool/base/LastReason.h"
#include "peridotspool/wire/FieldCodec.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <optional>
#include <string>
#include <string_view>

namespace peridotspool::wire {

/** Returns the bytes of a message. */
template<typename T>
std::string
Encode(const T& aMessage)
{
  std::string bytes;
  {
    google::protobuf::io::StringOutputStream stream(&bytes);
    google::protobuf::io::CodedOutputStream output(&stream);
    WriteFields(output, aMessage);
  }
  return bytes;
}

/** Returns the message, or empty with the reason if the bytes are none. */
template<typename T>
std::optional<T>
Decode(std::string_view aBytes, LastReason& aReason)
{
  google::protobuf::io::CodedInputStream input(
    reinterpret_cast<const std::uint8_t*>(aBytes.data()),
    static_cast<int>(aBytes.size()));
  T message{};
  if (!ReadFields(input, message) || !input.ConsumedEntireMessage()) {
    aReason.Set("bytes are not a message of the expected type");
    return std::nullopt;
  }
  return message;
}

} // namespace peridotspool::wire
