#pragma once

#include "http/BeastTypes.h"

namespace peridotspool::gateway {

/**
 * Disables Nagle's algorithm and sets TCP_USER_TIMEOUT. Without the latter,
 * data sent to a peer that does not respond any more waits for minutes.
 */
void
SetSocketOptions(http::Tcp::socket& aSocket);

/** Returns true iff the peer has closed the connection or data can be read. */
bool
HasEofOrData(http::Tcp::socket& aSocket);

} // namespace peridotspool::gateway
