#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/routing/TokenBucket.h"
#include "peridotspool/settings/EffectiveService.h"

#include <boost/describe/enum.hpp>
#include <cstdint>
#include <deque>
#include <optional>

namespace peridotspool::routing {

/** Which limit a request would exceed. */
enum class LimitReached
{
  kRate,
  kConcurrency,
};
BOOST_DESCRIBE_ENUM(LimitReached, kRate, kConcurrency)

/** How long a share has to hold before a larger one is used. */
inline constexpr Duration kShareSettleTime = std::chrono::seconds(3);

/**
 * One entry's share of a customer's limits: the lowest of the parts of the last
 * kShareSettleTime. A smaller share counts at once, a larger one only when the
 * others have had the time to hear of what shrank theirs.
 */
class SharedLimit
{
public:
  explicit SharedLimit(const settings::Limits& aShare);

  void SetShare(const settings::Limits& aShare, TimePoint aNow);

  /** Counts a request in, or says which limit it would exceed. */
  std::optional<LimitReached> TryAcquire(TimePoint aNow);
  /** A request that was counted in has ended. */
  void Release();

  /** When to come back after the rate was reached. */
  Duration UntilNext(TimePoint aNow);
  /** Requests a second that were asked for lately, refused ones included. */
  double Demand(TimePoint aNow);
  /** The share that counts now. */
  const settings::Limits& InForce(TimePoint aNow);
  std::uint64_t InUse() const { return mInUse; }

private:
  /** A share, and since when it is the newest. */
  struct Share
  {
    TimePoint mSince;
    settings::Limits mLimits;
  };

  void UpdateInForce(TimePoint aNow);
  void CountDemand(TimePoint aNow, double aRequests);

  settings::Limits mInForce;
  /** Those that were the newest within the last kShareSettleTime. */
  std::deque<Share> mShares;
  TokenBucket mBucket;
  std::uint64_t mInUse = 0;
  double mDemand = 0;
  TimePoint mDemandAt = TimePoint::min();
};

} // namespace peridotspool::routing
