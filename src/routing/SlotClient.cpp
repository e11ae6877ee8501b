#include "peridotspool/routing/SlotClient.h"

#include "peridotspool/routing/SlotTiming.h"

#include <algorithm>

namespace peridotspool::routing {

namespace {

/** By then a doubled response has arrived, or its slot has expired. */
constexpr Duration kUsedRetention = 2 * kSlotGrantLifetime;

std::uint32_t
ToMilliseconds(Duration aDuration)
{
  return static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(Duration(0), aDuration))
      .count());
}

SlotVerdict
VerdictOf(SlotOutcome aOutcome)
{
  switch (aOutcome) {
    case SlotOutcome::kGranted:
      return SlotVerdict::kGranted;
    case SlotOutcome::kDenied:
      return SlotVerdict::kDenied;
    case SlotOutcome::kQueued:
    case SlotOutcome::kNotCoordinator:
      break;
  }
  return SlotVerdict::kNotCoordinator;
}

} // namespace

SlotRequest
SlotClient::Request(std::uint64_t aTag,
                    const SlotDemand& aDemand,
                    TimePoint aNow)
{
  mPending[aTag] = { .mUpstream = aDemand.mUpstream,
                     .mRequestedAt = aNow,
                     .mHeardAt = aNow,
                     .mDeadline = aNow + aDemand.mMaxWait };
  return { .mUpstream = aDemand.mUpstream,
           .mIncarnation = aDemand.mIncarnation,
           .mDomain = aDemand.mDomain,
           .mTag = aTag,
           .mCustomer = aDemand.mCustomer,
           .mWeight = aDemand.mWeight,
           .mPriority = aDemand.mPriority,
           .mCost = aDemand.mCost,
           .mLatestStartMs = ToMilliseconds(aDemand.mLatestStart),
           .mMaxWaitMs = ToMilliseconds(aDemand.mMaxWait) };
}

// A response may arrive twice, or after the request was decided. A slot that
// was used isn't returned.
SlotResult
SlotClient::HandleResponse(const SlotResponse& aResponse, TimePoint aNow)
{
  const auto found = mPending.find(aResponse.mTag);
  if (found == mPending.end()) {
    const bool isHeld = aResponse.mOutcome == SlotOutcome::kGranted ||
                        aResponse.mOutcome == SlotOutcome::kQueued;
    if (!isHeld || mUsed.contains(aResponse.mTag)) {
      return {};
    }
    return { .mDecision = {},
             .mReturn = SlotReturn{ .mUpstream = aResponse.mUpstream,
                                    .mTag = aResponse.mTag } };
  }
  Pending& pending = found->second;
  const Duration expected = std::chrono::milliseconds(aResponse.mExpectedMs);
  if (aResponse.mOutcome == SlotOutcome::kQueued) {
    pending.mIsQueued = true;
    pending.mHeardAt = aNow;
    pending.mExpected = expected;
    pending.mQueueLength = aResponse.mWaiting;
    return {};
  }
  SlotDecision decision{ .mTag = aResponse.mTag,
                         .mUpstream = aResponse.mUpstream,
                         .mVerdict = VerdictOf(aResponse.mOutcome),
                         .mExpected = expected,
                         .mWaited = aNow - pending.mRequestedAt,
                         .mQueueLength = aResponse.mWaiting };
  mPending.erase(found);
  if (decision.mVerdict == SlotVerdict::kGranted) {
    mUsed[decision.mTag] = aNow;
  }
  return { .mDecision = std::move(decision), .mReturn = {} };
}

std::optional<SlotVerdict>
SlotClient::TimedOut(const Pending& aPending, TimePoint aNow)
{
  if (aNow >= aPending.mDeadline) {
    return SlotVerdict::kOverdue;
  }
  const Duration silent = aNow - aPending.mHeardAt;
  if (!aPending.mIsQueued) {
    return silent >= kSlotResponseTimeout
             ? std::optional(SlotVerdict::kUnanswered)
             : std::nullopt;
  }
  return silent >= kSlotSilence ? std::optional(SlotVerdict::kCoordinatorLost)
                                : std::nullopt;
}

std::vector<SlotResult>
SlotClient::Tick(TimePoint aNow)
{
  std::erase_if(mUsed, [&](const auto& aPair) {
    return aNow - aPair.second >= kUsedRetention;
  });
  std::vector<SlotResult> results;
  std::erase_if(mPending, [&](const auto& aPair) {
    const Pending& pending = aPair.second;
    const auto verdict = TimedOut(pending, aNow);
    if (verdict) {
      results.push_back(
        { .mDecision = SlotDecision{ .mTag = aPair.first,
                                     .mUpstream = pending.mUpstream,
                                     .mVerdict = *verdict,
                                     .mExpected = pending.mExpected,
                                     .mWaited = aNow - pending.mRequestedAt,
                                     .mQueueLength = pending.mQueueLength },
          .mReturn = SlotReturn{ .mUpstream = pending.mUpstream,
                                 .mTag = aPair.first } });
    }
    return verdict.has_value();
  });
  return results;
}

std::optional<SlotReturn>
SlotClient::Cancel(std::uint64_t aTag)
{
  const auto found = mPending.find(aTag);
  if (found == mPending.end()) {
    return std::nullopt;
  }
  SlotReturn cancelled{ .mUpstream = found->second.mUpstream, .mTag = aTag };
  mPending.erase(found);
  return cancelled;
}

void
SlotClient::LimitWaits(TimePoint aUntil)
{
  for (auto& [tag, pending] : mPending) {
    pending.mDeadline = std::min(pending.mDeadline, aUntil);
  }
}

} // namespace peridotspool::routing
