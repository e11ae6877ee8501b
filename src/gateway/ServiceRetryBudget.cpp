#include "peridotspool/gateway/ServiceRetryBudget.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** The rest is held back: the budget must hold over every sliding window, and
 * windows don't start at slice boundaries. */
constexpr double kUsableFraction = 0.8;
/** A process that has just restarted may have retried before the restart. For
 * one window it may use only this fraction of the ratio, and none of the fixed
 * allowance; together with kUsableFraction that stays within the budget. */
constexpr double kStartupFraction = 0.25;

} // namespace

ServiceRetryBudget::ServiceRetryBudget(ServiceRetryBudgetOptions aOptions)
  : mOptions(aOptions)
{
}

void
ServiceRetryBudget::SetEntryCount(std::size_t aEntryCount)
{
  mOptions.mEntryCount = std::max<std::size_t>(1, aEntryCount);
}

ServiceRetryBudget::Slice&
ServiceRetryBudget::CurrentSlice(const ServiceName& aService, TimePoint aNow)
{
  const Duration length = mOptions.mWindow / kWindowSlices;
  const std::int64_t number = aNow.time_since_epoch() / length;
  Slice& slice = mSlices[aService][static_cast<std::size_t>(number) % kSlices];
  if (slice.mNumber != number) {
    slice = Slice{ .mNumber = number };
  }
  return slice;
}

void
ServiceRetryBudget::RecordRequest(const ServiceName& aService, TimePoint aNow)
{
  ++CurrentSlice(aService, aNow).mRequests;
}

bool
ServiceRetryBudget::TryAcquireRetry(const ServiceName& aService, TimePoint aNow)
{
  Slice& current = CurrentSlice(aService, aNow);
  const std::int64_t oldest =
    current.mNumber - static_cast<std::int64_t>(kSlices);
  double requests = 0.0;
  double retries = 0.0;
  for (const Slice& slice : mSlices.at(aService)) {
    if (slice.mNumber > oldest) {
      requests += slice.mRequests;
      retries += slice.mRetries;
    }
  }
  const bool isStarting = aNow - mOptions.mStartedAt < mOptions.mWindow;
  const double extra = isStarting ? 0.0
                                  : mOptions.mFixedAllowance /
                                      static_cast<double>(mOptions.mEntryCount);
  const double ratio = mOptions.mRatio * (isStarting ? kStartupFraction : 1.0);
  if (retries + 1.0 > kUsableFraction * (ratio * requests + extra)) {
    return false;
  }
  ++current.mRetries;
  return true;
}

} // namespace peridotspool::gateway
