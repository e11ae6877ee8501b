// ctest-labels: promise-survives-reclaim promise-at-most-once
// promise-refusal-did-not-run promise-fencing
#include "ledger/TraceReplay.h"

#include <catch2/catch.hpp>

#include <filesystem>

namespace peridotspool::ledger {

TEST_CASE("ReplaysRecordedTracesToTheirStatedOutcomes")
{
  // Each trace describes the failure and its cause at its head.
  const std::filesystem::path folder =
    std::filesystem::path(PERIDOTSPOOL_SOURCE_DIR) / "test/traces/ledger";
  int replayed = 0;
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    CAPTURE(file.path().filename());
    TraceReplay replay(YAML::LoadFile(file.path().string()));
    std::string differences;
    for (const std::string& line : replay.Run()) {
      differences += line + "\n";
    }
    INFO("trace " << file.path().filename() << ": put the ledger right, or "
                  << "say in the commit why the stated outcome is wrong");
    CHECK(differences == "");
    ++replayed;
  }
  CHECK(replayed >= 4);
}

} // namespace peridotspool::ledger
