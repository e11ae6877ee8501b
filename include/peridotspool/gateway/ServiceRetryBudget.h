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
  /** Repeats allowed for each request that callers send. */
  double mRatio = 0.2;
  /** Repeats allowed besides in a window, for all entries together. */
  double mFixedAllowance = 10.0;
  Duration mWindow = std::chrono::seconds(10);
  /** Entries that share mFixedAllowance; as many as may run at once. */
  std::size_t mEntryCount = 1;
  /** When the process started: it doesn't know what it repeated before. */
  TimePoint mStartedAt;
};

/**
 * Bounds the sends to a service beyond the first of each request, so that
 * repeats don't multiply the load of a service in trouble. Entries keep their
 * own parts without asking each other: also one that is cut off stays in its
 * part.
 *
 * A pure step. Not thread-safe.
 */
class ServiceRetryBudget
{
public:
  explicit ServiceRetryBudget(ServiceRetryBudgetOptions aOptions);

  void SetEntryCount(std::size_t aEntries);
  /** A caller's request for the service has come. */
  void RecordRequest(const ServiceName& aService, TimePoint aNow);
  /** Takes one repeat out of the budget; false iff none is left. */
  bool TryAcquireRetry(const ServiceName& aService, TimePoint aNow);

private:
  static constexpr std::size_t kWindowSlices = 10;
  /** The present slice has just begun or is nearly over: one more. */
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
