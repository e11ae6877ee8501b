#pragma once

#include <cstddef>

namespace peridotspool::control {

/** Bounds of the replicated state; the same on all replicas. */
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
