#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/routing/TokenBucket.h"
#include "peridotspool/settings/EffectiveService.h"

#include <boost/describe/enum.hpp>
#include <cstdint>
#include <deque>
#include <optional>

namespace peridotspool::routing {

/** The limit that a request would exceed. */
enum class LimitReached
{
  kRate,
  kConcurrency,
};
BOOST_DESCRIBE_ENUM(LimitReached, kRate, kConcurrency)

/** Time after which a larger share takes effect. */
inline constexpr Duration kShareSettleTime = std::chrono::seconds(3);

/**
 * One entry's share of a customer's limits. The lowest share within the last
 * kShareSettleTime is in force: a smaller share takes effect at once, a larger
 * one only after the other entries have had the time to receive what reduced
 * theirs.
 */
class SharedLimit
{
public:
  explicit SharedLimit(const settings::Limits& aShare);

  void SetShare(const settings::Limits& aShare, TimePoint aNow);

  /** Counts the request, or returns the limit that it would exceed. */
  std::optional<LimitReached> TryAcquire(TimePoint aNow);
  /** Called when a counted request has ended. */
  void Release();

  /** Returns the time until the rate permits the next request. */
  Duration UntilNext(TimePoint aNow);
  /**
   * Returns the recent demand in requests per second, refused requests
   * included.
   */
  double Demand(TimePoint aNow);
  /** Returns the share that is in force. */
  const settings::Limits& InForce(TimePoint aNow);
  std::uint64_t InUse() const { return mInUse; }

private:
  /** A share, and the time when it was set. */
  struct Share
  {
    TimePoint mSince;
    settings::Limits mLimits;
  };

  void UpdateInForce(TimePoint aNow);
  void CountDemand(TimePoint aNow, double aRequests);

  settings::Limits mInForce;
  /** The shares that were the newest within the last kShareSettleTime. */
  std::deque<Share> mShares;
  TokenBucket mBucket;
  std::uint64_t mInUse = 0;
  double mDemand = 0;
  TimePoint mDemandAt = TimePoint::min();
};

} // namespace peridotspool::routing
