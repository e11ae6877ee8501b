#include "http/ResetOnClose.h"

#include <sys/socket.h>

namespace peridotspool::http {

// The library's own option is taken back when the socket is destroyed.
void
SetResetOnClose(Tcp::socket& aSocket, bool aResets)
{
  const linger option{ .l_onoff = aResets ? 1 : 0, .l_linger = 0 };
  ::setsockopt(
    aSocket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

} // namespace peridotspool::http
