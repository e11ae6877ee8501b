#include "peridotspool/gateway/RepeatBudget.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** A part is kept back: windows slide, and slices don't begin with them. */
constexpr double kUsedPart = 0.8;
/** A process that has just started may have repeated in an earlier life: it has
 * this part of what its requests allow, and nothing of the extra, which with
 * the used part stays within the bound. */
constexpr double kFreshPart = 0.25;

} // namespace

RepeatBudget::RepeatBudget(RepeatBudgetOptions aOptions)
  : mOptions(aOptions)
{
}

void
RepeatBudget::UseEntries(std::size_t aEntries)
{
  mOptions.mEntries = std::max<std::size_t>(1, aEntries);
}

RepeatBudget::Slice&
RepeatBudget::Current(const ServiceName& aService, TimePoint aNow)
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
RepeatBudget::TakeRequest(const ServiceName& aService, TimePoint aNow)
{
  ++Current(aService, aNow).mRequests;
}

bool
RepeatBudget::TakeRepeat(const ServiceName& aService, TimePoint aNow)
{
  Slice& current = Current(aService, aNow);
  const std::int64_t oldest =
    current.mNumber - static_cast<std::int64_t>(kSlices);
  double requests = 0.0;
  double repeats = 0.0;
  for (const Slice& slice : mSlices.at(aService)) {
    if (slice.mNumber > oldest) {
      requests += slice.mRequests;
      repeats += slice.mRepeats;
    }
  }
  const bool isFresh = aNow - mOptions.mStartedAt < mOptions.mWindow;
  const double extra =
    isFresh ? 0.0 : mOptions.mExtra / static_cast<double>(mOptions.mEntries);
  const double ratio = mOptions.mRatio * (isFresh ? kFreshPart : 1.0);
  if (repeats + 1.0 > kUsedPart * (ratio * requests + extra)) {
    return false;
  }
  ++current.mRepeats;
  return true;
}

} // namespace peridotspool::gateway
