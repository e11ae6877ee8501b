// ctest-labels: hostile
// More connections than an entry takes.

#include "hostile/CallerScripts.h"
#include "hostile/HostileSystem.h"

#include <catch2/catch.hpp>

namespace peridotspool::hostile {

// Guards against idle connections that take all descriptors.
TEST_CASE("IdleConnectionsLeaveDescriptorsForOthers")
{
  HostileSystem system(49);
  system.Start();
  const auto watch = system.WatchEntry();
  HostileCrowd crowd(system.Host(), soak::kCallerPort, 400, {});
  crowd.Send();
  system.CheckHolds(*watch);
  INFO("the entry had " << watch->PeakDescriptors() << " descriptors");
  CHECK(watch->PeakDescriptors() <= kConnections + kOtherDescriptors);
}

// Guards against bytes of further requests, read and unread, that each of many
// connections holds while its first one is served.
TEST_CASE("BytesBehindARequestFillNoMemory")
{
  HostileSystem system(48);
  system.Start();
  const auto watch = system.WatchEntry();
  system.Upstream().Misbehave(soak::FaultKind::kMute);
  HostileCrowd crowd(system.Host(),
                     soak::kCallerPort,
                     1300,
                     { .mHead = WithLength(4) + "body" + WithLength(1U << 30),
                       .mPiece = std::string(1000, 'x'),
                       .mPieces = 400,
                       .mReads = false });
  crowd.Send();
  system.Upstream().Misbehave(std::nullopt);
  system.CheckHolds(*watch);
}

} // namespace peridotspool::hostile
