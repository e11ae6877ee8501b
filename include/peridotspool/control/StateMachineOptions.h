#pragma once

#include <cstddef>

namespace peridotspool::control {

/** Limits of the replicated state; identical on all replicas. */
struct StateMachineOptions
{
  std::size_t mMaxHistory = 1000;
  std::size_t mMaxHistoryBytes = 1ULL << 20;
  std::size_t mMaxEditIds = 4096;
  std::size_t mMaxEpochs = 64;
  std::size_t mMaxRemovedNonces = 256;
  std::size_t mMaxUsageWindows = 4;
};

} // namespace peridotspool::control
