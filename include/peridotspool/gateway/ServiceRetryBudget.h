#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace peridotspool::gateway {

struct ServiceRetryBudgetOptions
{
  /** Retries allowed per caller's request. */
  double mRatio = 0.2;
  /** Further retries allowed per window, for all entries together. */
  double mFixedAllowance = 10.0;
  Duration mWindow = std::chrono::seconds(10);
  /** Entries that share mFixedAllowance: all that may run at once. */
  std::size_t mEntryCount = 1;
  /** When the process started. Retries before a restart are unknown. */
  TimePoint mStartedAt;
};

/**
 * Bounds the retries to a service, so that they don't multiply the load of a
 * failing service. Each entry enforces its own part of the budget without
 * communication, so an entry that is partitioned from the others stays within
 * its part as well.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class ServiceRetryBudget
{
public:
  explicit ServiceRetryBudget(ServiceRetryBudgetOptions aOptions);

  void SetEntryCount(std::size_t aEntryCount);
  /** Counts a caller's request to the service. */
  void RecordRequest(const ServiceName& aService, TimePoint aNow);
  /** Takes one retry from the budget; returns false iff none is left. */
  bool TryAcquireRetry(const ServiceName& aService, TimePoint aNow);

private:
  static constexpr std::size_t kWindowSlices = 10;
  /** One more slice, since the current one is only partly over. */
  static constexpr std::size_t kSlices = kWindowSlices + 1;
  struct Slice
  {
    std::int64_t mNumber = -1;
    std::uint32_t mRequests = 0;
    std::uint32_t mRetries = 0;
  };
  using Slices = std::array<Slice, kSlices>;

  Slice& CurrentSlice(const ServiceName& aService, TimePoint aNow);

  ServiceRetryBudgetOptions mOptions;
  std::unordered_map<ServiceName, Slices> mSlices;
};

} // namespace peridotspool::gateway
