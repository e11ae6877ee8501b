// ctest-labels: hostile
// Clients at the listeners for our own processes.

#include "hostile/HostileSystem.h"

#include "peridotspool/runtime/KeyFiles.h"
#include "peridotspool/wire/PeerSession.h"

#include <catch2/catch.hpp>

namespace peridotspool::hostile {

namespace {

constexpr std::size_t kFrameBytes = 12U << 20;

/** Shakes hands on a new connection and sends a frame but for its end. */
soak::Wire
SendUnfinishedFrame(const std::string& aHost, std::uint16_t aPort, int aNumber)
{
  wire::PeerSession session(
    { .mRole = wire::PeerRole::kClient,
      .mSharedKey = runtime::kNoPeerKey,
      .mOwnListen = "127.0.0.9:" + std::to_string(aNumber),
      .mMaxFrameBytes = 2 * kFrameBytes });
  auto wire = soak::Wire::Connect(aHost, aPort, soak::Ms(5000));
  REQUIRE(wire);
  std::vector<std::string> frames;
  LastReason reason;
  while (!session.Authenticated()) {
    wire->Send(session.TakeOutput());
    const std::string bytes = wire->ReadBytes(soak::Ms(5000));
    if (bytes.empty() || !session.Receive(bytes, frames, reason)) {
      return std::move(*wire);
    }
  }
  session.Queue(std::string(kFrameBytes, 'x'));
  std::string output = session.TakeOutput();
  output.resize(output.size() - 100);
  wire->Send(output);
  return std::move(*wire);
}

void
CheckUnfinishedFrames(HostileSystem& aSystem,
                      const ProcessWatch& aWatch,
                      std::uint16_t aPort)
{
  std::vector<soak::Wire> wires;
  for (int number = 1; number <= 24; ++number) {
    wires.push_back(SendUnfinishedFrame(aSystem.Host(), aPort, number));
  }
  aSystem.CheckHolds(aWatch);
}

} // namespace

// Guards against messages that hold memory without ever being whole.
TEST_CASE("UnfinishedMessagesFillNoMemoryOfAnEntry")
{
  HostileSystem system(55);
  system.Start();
  const auto watch = system.WatchEntry();
  CheckUnfinishedFrames(system, *watch, soak::kEntryPeerPort);
}

TEST_CASE("UnfinishedMessagesFillNoMemoryOfAReplica")
{
  HostileSystem system(56);
  system.Start();
  const auto watch = system.WatchControl();
  CheckUnfinishedFrames(system, *watch, soak::kPeerPort);
}

} // namespace peridotspool::hostile
