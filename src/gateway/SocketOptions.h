#pragma once

#include "http/BeastTypes.h"

namespace peridotspool::gateway {

/**
 * Small writes leave at once, and a connection whose other end has gone silent
 * ends by itself: without that, what is sent on it waits for minutes.
 */
void
SetSocketOptions(http::Tcp::socket& aSocket);

/** Returns true iff the other end has closed, or sent what nobody asked for. */
bool
HasEofOrData(http::Tcp::socket& aSocket);

} // namespace peridotspool::gateway
