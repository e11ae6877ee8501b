#pragma once

#include "http/BeastTypes.h"

namespace peridotspool::http {

/** Sets whether the end of the connection, also by the end of this process,
 * resets it instead of closing it in order. */
void
SetResetOnClose(Tcp::socket& aSocket, bool aResets);

} // namespace peridotspool::http
