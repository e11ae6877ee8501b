#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/routing/TokenBucket.h"
#include "peridotspool/settings/EffectiveService.h"

#include <boost/describe/enum.hpp>
#include <cstdint>
#include <optional>

namespace peridotspool::routing {

/** Which limit a request would exceed. */
enum class LimitReached
{
  kRate,
  kConcurrency,
};
BOOST_DESCRIBE_ENUM(LimitReached, kRate, kConcurrency)

/** How long a grown share waits until the others have surely shrunk theirs. */
inline constexpr Duration kShareSettles = std::chrono::seconds(3);

/**
 * One entry's part of a customer's limits. A smaller share counts at once, a
 * larger one only after kShareSettles: while published demand reaches every
 * entry within that time, the parts in use never sum to more than the limits
 * (but for each entry's burst of a second's worth, at least one request).
 */
class SharedLimit
{
public:
  explicit SharedLimit(const settings::Limits& aShare);

  void SetShare(const settings::Limits& aShare, TimePoint aNow);

  /** Counts a request in, or says which limit it would exceed. */
  std::optional<LimitReached> Take(TimePoint aNow);
  /** A request that was counted in has ended. */
  void Release();

  /** When to come back after the rate was reached. */
  Duration UntilNext(TimePoint aNow);
  /** Requests a second that were asked for lately, refused ones included. */
  double Demand(TimePoint aNow);
  std::uint64_t InUse() const { return mInUse; }

private:
  void Settle(TimePoint aNow);
  void CountDemand(TimePoint aNow, double aAsked);

  settings::Limits mInForce;
  settings::Limits mPending;
  TimePoint mPendingSince;
  TokenBucket mBucket;
  std::uint64_t mInUse = 0;
  double mDemand = 0;
  TimePoint mDemandAt = TimePoint::min();
};

} // namespace peridotspool::routing
