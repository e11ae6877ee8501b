#pragma once

#include "peridotspool/base/Address.h"

namespace peridotspool::gateway {

/**
 * Returns where an entry accepts tunnels: at the port below the one at which
 * other processes of the system reach it.
 */
inline Address
TunnelAddressOf(const Address& aPeer)
{
  return { aPeer.mHost, static_cast<std::uint16_t>(aPeer.mPort - 1) };
}

} // namespace peridotspool::gateway
