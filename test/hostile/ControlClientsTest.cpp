// ctest-labels: hostile
// Clients of a control replica, and of the readiness listener of an entry.

#include "hostile/CallerScripts.h"
#include "hostile/HostileSystem.h"

#include "http/Eventually.h"

#include <catch2/catch.hpp>

namespace peridotspool::hostile {

namespace {

/** Checks that a listener answers a call while a crowd presses on it. */
void
CheckAnswers(const HostileSystem& aSystem,
             std::uint16_t aPort,
             const std::string& aPath)
{
  INFO("expected an answer to GET " << aPath);
  CHECK(test::Eventually(
    [&] {
      const auto answer =
        soak::CallOnce(aSystem.Host(),
                       aPort,
                       "GET " + aPath + " HTTP/1.1\r\nHost: c\r\n\r\n",
                       soak::Ms(5000));
      return answer && (answer->mStatus == 200 || answer->mStatus == 307);
    },
    std::chrono::seconds(60)));
}

} // namespace

// Guards against orders that hold memory without ever being whole.
TEST_CASE("OrdersThatStopShortFillNoMemory")
{
  HostileSystem system(52);
  system.Start();
  const auto watch = system.WatchControl();
  constexpr std::size_t kBytes = 8U << 20;
  HostileCrowd crowd(system.Host(),
                     soak::kControlPort,
                     40,
                     { .mHead = kOrderHead + "Content-Length: " +
                                std::to_string(kBytes) + "\r\n\r\n",
                       .mPiece = std::string(1U << 10, 'x'),
                       .mPieces = (kBytes >> 10) - 1 });
  crowd.Send();
  CheckAnswers(system, soak::kControlPort, "/config/read");
  system.CheckHolds(*watch);
}

// Guards against idle connections that shut others out.
TEST_CASE("IdleConnectionsShutNobodyOutOfControl")
{
  HostileSystem system(53);
  system.Start();
  const auto watch = system.WatchControl();
  const std::pair<std::uint16_t, std::string> listeners[] = {
    { soak::kControlPort, "/config/read" },
    { soak::kDirectoryPort, "/resolve?name=x&region=r&zone=d1" },
    { soak::kReadyPort, "/readyz" },
  };
  for (const auto& [port, path] : listeners) {
    HostileCrowd crowd(system.Host(), port, 400, {});
    crowd.Send();
    CheckAnswers(system, port, path);
  }
  system.CheckHolds(*watch);
  INFO("the replica had " << watch->PeakDescriptors() << " descriptors");
  CHECK(watch->PeakDescriptors() <= 2 * kConnections + kOtherDescriptors);
}

} // namespace peridotspool::hostile
