#pragma once

#include <boost/describe/enum.hpp>

namespace peridotspool::gateway {

/** What marks the end of a response's body. */
enum class BodyFraming
{
  kLength,
  kChunked,
  /** Nothing but the end of the connection. */
  kConnection,
};

BOOST_DESCRIBE_ENUM(BodyFraming, kLength, kChunked, kConnection)

} // namespace peridotspool::gateway
