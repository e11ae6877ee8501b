// ctest-labels: promise-graceful-stop
#include "process/ChildProcess.h"
#include "soak/SoakNames.h"
#include "soak/SoakWire.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace peridotspool::soak {

namespace {

const std::string kSettings = R"(name: m1
region: r
failure_domain: d
log:
  file: "-"
listen:
  peer: 127.99.1.1:7601
  callers: 127.99.1.1:8221
  ready: 127.99.1.1:8224
seeds:
  addresses: "127.99.1.1:7600"
)";

} // namespace

// Symptom: an entry was gone though nobody had stopped it (soak, seed 86: ended
// by signal 1).
// Sequence: SIGHUP came 16 ms after its start, while it read its settings.
// Cause: signals were blocked only after that.
TEST_CASE("ASignalThatComesWhileAProcessStartsIsTakenWhenItHasStarted")
{
  const auto folder = std::filesystem::temp_directory_path() /
                      ("peridotspool-early-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  const std::string path = (folder / "entry.yaml").string();
  std::ofstream(path + ".whole") << kSettings;
  REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
  test::ChildProcess process(PERIDOTSPOOL_BINARY_DIR "/peridotspool-platform",
                             { "--settings", path, "entry" },
                             (folder / "log").string());
  // Opening waits for the process: it reads its settings now.
  const int pipe = ::open(path.c_str(), O_WRONLY | O_CLOEXEC);
  REQUIRE(pipe >= 0);
  process.Signal(SIGHUP);
  std::filesystem::rename(path + ".whole", path);
  REQUIRE(::write(pipe, kSettings.data(), kSettings.size()) ==
          static_cast<ssize_t>(kSettings.size()));
  ::close(pipe);
  std::optional<Wire> wire;
  for (int i = 0; i < 300 && !wire; ++i) {
    wire = Wire::Connect("127.99.1.1", kCallerPort, Ms(100));
    std::this_thread::sleep_for(Ms(10));
  }
  CHECK(wire.has_value());
  process.Signal(SIGTERM);
  CHECK(process.WaitForEnd() == 0);
  CHECK_THAT(process.Log(), Catch::Contains("SettingsReloaded"));
  std::filesystem::remove_all(folder);
}

} // namespace peridotspool::soak
