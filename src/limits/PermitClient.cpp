#include "peridotspool/limits/PermitClient.h"

#include "peridotspool/limits/PermitTiming.h"

#include <algorithm>

namespace peridotspool::limits {

namespace {

/** A coordinator responds at once, if only that the request is queued. */
constexpr Duration kResponseTimeout = std::chrono::milliseconds(100);
/** By then a doubled response has arrived, or its permit can't be returned any
 * more. */
constexpr Duration kUsedRetention = 4 * kPermitLifetime;
/** A silent coordinator is asked again after this long. */
constexpr Duration kSilentRetry = std::chrono::milliseconds(300);

std::uint32_t
ToMilliseconds(Duration aDuration)
{
  return static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(Duration(0), aDuration))
      .count());
}

} // namespace

SendPermitRequest
PermitClient::Request(const PermitDemand& aDemand,
                      const KnownLimit& aLimit,
                      TimePoint aNow)
{
  mPending[++mLastTag] = { .mUpstream = aDemand.mUpstream,
                           .mRequestedAt = aNow };
  return { .mUpstream = aDemand.mUpstream,
           .mIncarnation = aDemand.mIncarnation,
           .mDomain = aDemand.mDomain,
           .mTag = mLastTag,
           .mClaim = { .mPerSecond = aLimit.mPerSecond,
                       .mAgeMs = ToMilliseconds(aNow - aLimit.mStatedAt) },
           .mPriority = aDemand.mPriority,
           .mMaxWaitMs = ToMilliseconds(aDemand.mMaxWait) };
}

PermitResult
PermitClient::HandleResponse(const SendPermitResponse& aResponse,
                             TimePoint aNow)
{
  const SendPermitReturn unused{ .mUpstream = aResponse.mUpstream,
                                 .mTag = aResponse.mTag };
  const bool granted = aResponse.mOutcome == PermitOutcome::kGranted;
  const auto found = mPending.find(aResponse.mTag);
  if (found == mPending.end()) {
    // A response may arrive twice; a permit that was used isn't returned.
    const bool isUnused = granted && !mUsed.contains(aResponse.mTag);
    return { .mReturn = isUnused ? std::optional(unused) : std::nullopt };
  }
  if (aResponse.mOutcome == PermitOutcome::kQueued) {
    found->second.mIsQueued = true;
    return {};
  }
  const TimePoint requestedAt = found->second.mRequestedAt;
  mPending.erase(found);
  PermitDecision decision{ .mTag = aResponse.mTag,
                           .mUpstream = aResponse.mUpstream,
                           .mRequestedAt = requestedAt,
                           .mOutcome = aResponse.mOutcome,
                           .mRetryAfter =
                             std::chrono::milliseconds(aResponse.mRetryAfterMs),
                           .mReceipt = aResponse.mReceipt };
  if (granted && aNow - requestedAt < kPermitLifetime) {
    mUsed[aResponse.mTag] = aNow;
  }
  if (!granted || aNow - requestedAt < kPermitLifetime) {
    return { .mDecision = std::move(decision) };
  }
  decision.mOutcome.reset();
  decision.mRetryAfter = kSilentRetry;
  return { .mDecision = std::move(decision), .mReturn = unused };
}

std::vector<PermitDecision>
PermitClient::Tick(TimePoint aNow)
{
  std::vector<PermitDecision> decisions;
  std::erase_if(mUsed, [&](const auto& aPair) {
    return aNow - aPair.second >= kUsedRetention;
  });
  std::erase_if(mPending, [&](const auto& aPair) {
    const Pending& pending = aPair.second;
    const Duration timeout =
      pending.mIsQueued ? kPermitLifetime : kResponseTimeout;
    if (aNow - pending.mRequestedAt < timeout) {
      return false;
    }
    decisions.push_back({ .mTag = aPair.first,
                          .mUpstream = pending.mUpstream,
                          .mRequestedAt = pending.mRequestedAt,
                          .mOutcome = {},
                          .mRetryAfter = kSilentRetry,
                          .mReceipt = {} });
    return true;
  });
  return decisions;
}

std::optional<SendPermitReturn>
PermitClient::Cancel(std::uint64_t aTag)
{
  const auto found = mPending.find(aTag);
  if (found == mPending.end()) {
    return std::nullopt;
  }
  SendPermitReturn cancelled{ .mUpstream = found->second.mUpstream,
                              .mTag = aTag };
  mPending.erase(found);
  return cancelled;
}

} // namespace peridotspool::limits
