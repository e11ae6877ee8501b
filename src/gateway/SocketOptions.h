#pragma once

#include "http/BeastTypes.h"

namespace peridotspool::gateway {

/**
 * Disables Nagle's algorithm, so that small writes are sent at once, and sets
 * TCP_USER_TIMEOUT, so that a connection to an unresponsive peer is closed.
 * Without the latter, data sent on it would wait for minutes.
 */
void
SetSocketOptions(http::Tcp::socket& aSocket);

/** Returns true iff the peer has closed the connection or data can be read. */
bool
HasEofOrData(http::Tcp::socket& aSocket);

} // namespace peridotspool::gateway
