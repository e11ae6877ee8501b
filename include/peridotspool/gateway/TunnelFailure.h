#pragma once

#include <boost/describe/enum.hpp>

namespace peridotspool::gateway {

/** Why another entry relays no connection to an upstream. */
enum class TunnelFailure
{
  /** No connection to the other entry, or no response from it. */
  kPeerUnreachable,
  /** The other entry reaches no upstream itself. */
  kPeerPartitioned,
  /** It has no room for another tunnel, or is stopping. */
  kPeerBusy,
  /** It doesn't know this incarnation of the upstream. */
  kUnknownUpstream,
  /** The upstream wants no requests from the other entry for a time. */
  kUpstreamResting,
  kUpstreamRefused,
  kUpstreamTimedOut,
};
BOOST_DESCRIBE_ENUM(TunnelFailure,
                    kPeerUnreachable,
                    kPeerPartitioned,
                    kPeerBusy,
                    kUnknownUpstream,
                    kUpstreamResting,
                    kUpstreamRefused,
                    kUpstreamTimedOut)

} // namespace peridotspool::gateway
