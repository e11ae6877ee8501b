// ctest-labels: hostile
// Requests that come in small pieces.

#include "hostile/CallerScripts.h"
#include "hostile/HostileSystem.h"

#include <catch2/catch.hpp>

namespace peridotspool::hostile {

// Guards against a check in the parser that the last chunk's header, sent in
// pieces, fails.
TEST_CASE("AnEmptyChunkedBodyInPiecesEndsNoProcess")
{
  HostileSystem system(50);
  system.Start();
  const auto watch = system.WatchEntry();
  HostileCrowd crowd(
    system.Host(), soak::kCallerPort, 1, { .mHead = kChunkedHead + "0\r\n" });
  crowd.SendSlowly("\r");
  system.CheckHolds(*watch);
}

// Guards against a check in the parser that the last chunk's header, sent in
// pieces, fails.
TEST_CASE("AnEmptyChunkedOrderInPiecesEndsNoReplica")
{
  HostileSystem system(54);
  system.Start();
  const auto watch = system.WatchControl();
  for (const std::uint16_t port :
       { soak::kControlPort, soak::kDirectoryPort, soak::kReadyPort }) {
    HostileCrowd crowd(
      system.Host(),
      port,
      1,
      { .mHead = kOrderHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n" });
    crowd.SendSlowly("\r");
  }
  system.CheckHolds(*watch);
}

} // namespace peridotspool::hostile
