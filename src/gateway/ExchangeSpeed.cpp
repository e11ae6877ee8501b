// What a request shows of its upstream's speed, and how far the estimate of its
// time was wrong.

#include "gateway/Exchange.h"

#include <chrono>
#include <utility>

namespace peridotspool::gateway {

namespace {

constexpr unsigned kFirstRedirect = 300;

} // namespace

// Called for the first event of a stream and for the whole response of a plain
// call.
void
Exchange::RecordEstimateError(TimePoint aNow)
{
  if (const auto expected = std::exchange(mExpected, std::nullopt)) {
    const Duration error = aNow - mSent.mSentAt - *expected;
    mCore.mCounters.Histogram(observe::HistogramId::kEstimateError)
      .Observe(std::chrono::abs(error));
    mCore.mCounters.Add(error > Duration(0)
                          ? observe::CounterId::kEstimateTooShort
                          : observe::CounterId::kEstimateTooLong);
  }
}

std::optional<routing::WorkObservation>
Exchange::ObservePrefill(TimePoint aNow)
{
  RecordEstimateError(aNow);
  return mCore.mSelector.ObservePrefill(mSent, aNow);
}

// Only whole responses say how long the work took; TellEnded reports it.
void
Exchange::ObserveEnd()
{
  const TimePoint now = mCore.mNow();
  if (mHead.mStatus >= kFirstRedirect) {
    return;
  }
  if (mIsStream) {
    mEndObservation =
      mCore.mSelector.ObserveGeneration(mSent, mEventBatches, now);
  } else if (mSelectionQuery.mPrompt.Tokens() == 0) {
    RecordEstimateError(now);
    mEndObservation = mCore.mSelector.ObservePlain(mSent, now);
  }
}

} // namespace peridotspool::gateway
