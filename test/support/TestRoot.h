#pragma once

#include <filesystem>
#include <unistd.h>

namespace peridotspool::test {

/**
 * Where tests that start whole systems keep their folders: in memory where the
 * machine has such a file system. On its disk all syncs of all replicas hung at
 * once for 11 to 20 s, twice in an hour, and no group could elect a leader
 * within a test's patience. Processes are killed here, never the machine, so
 * what a sync covers is the same in both places.
 */
inline std::filesystem::path
TestRoot()
{
  const std::filesystem::path memory = "/dev/shm";
  const bool usable = ::access(memory.c_str(), W_OK | X_OK) == 0;
  return usable ? memory : std::filesystem::temp_directory_path();
}

} // namespace peridotspool::test
