#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"
#include "peridotspool/gateway/TunnelFailure.h"

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace peridotspool::gateway {

/** One incarnation of an upstream, to which a connection is wanted. */
struct DialTarget
{
  UpstreamName mName;
  Incarnation mIncarnation;
  Address mAddress;

  auto operator<=>(const DialTarget&) const = default;
};

/** Heads of tunnel requests and responses are not larger than this. */
constexpr std::size_t kMaxTunnelHeadBytes = 2048;

/**
 * Returns the request for a tunnel: HTTP CONNECT with the upstream's name and
 * incarnation. The server connects to the address that it knows for these
 * itself, so that a tunnel can't lead anywhere else.
 */
std::string
WriteTunnelRequest(const DialTarget& aTarget);
/** Returns empty if the head is no valid request. */
std::optional<DialTarget>
ParseTunnelRequest(std::string_view aHead);

/**
 * Returns the head of the response; empty failure: the tunnel is open. After
 * the head, an open tunnel carries the upstream's bytes in records
 * (TunnelRecord.h); in the other direction it carries them as they are.
 */
std::string
WriteTunnelResponse(const std::optional<TunnelFailure>& aFailure);
/** Returns false iff the head is no valid response. Sets the failure, or clears
 * it if the tunnel is open. */
bool
ParseTunnelResponse(std::string_view aHead,
                    std::optional<TunnelFailure>& aFailure);

} // namespace peridotspool::gateway
