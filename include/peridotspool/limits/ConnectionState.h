#pragma once

#include <boost/describe/enum.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>

namespace peridotspool::limits {

enum class ConnectionPhase
{
  /** No request has begun. */
  kIdle,
  /** A request is incomplete. */
  kReceiving,
  /** A request is complete, and its response has not begun. */
  kServing,
  /** Bytes of a response wait to be written. */
  kSending,
  /** A refusal has been written; what the client still sends is dropped. */
  kDraining,
};
BOOST_DESCRIBE_ENUM(ConnectionPhase,
                    kIdle,
                    kReceiving,
                    kServing,
                    kSending,
                    kDraining)

/** What a connection is doing and holding. */
struct ConnectionState
{
  ConnectionPhase mPhase = ConnectionPhase::kIdle;
  /** Of memory, and of what waits unread in the kernel. */
  std::size_t mBytes = 0;
  /** Bytes read and written since the connection was opened. */
  std::uint64_t mTransferred = 0;
  /** Further requests have come before the response to the present one. */
  bool mIsAhead = false;

  auto operator<=>(const ConnectionState&) const = default;
};

} // namespace peridotspool::limits
