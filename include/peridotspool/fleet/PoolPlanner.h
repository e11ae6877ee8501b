#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/fleet/CloudCall.h"
#include "peridotspool/gateway/ServiceProfile.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace peridotspool::fleet {

struct PoolOptions
{
  /** Upstreams of a service that are kept even without load. */
  std::uint32_t mMinUpstreams = 8;
  /** Requests that run at one upstream when the pool is as large as wanted. */
  double mTargetConcurrency = 3.5;
  /** An order is repeated when nothing came of it for boot time and this. */
  Duration mOrderTimeout = std::chrono::seconds(3);
  /** A refused order is tried again after this long. Reclaims of one domain
   * after the other leave gaps of a second in which there are some to be had;
   * with 1.5 s between two tries three of ten were missed. */
  Duration mRefusedOrderBackoff = std::chrono::milliseconds(500);
  /** Before any load no upstream is given up for this long: those that run
   * already have to be heard first. */
  Duration mObservationPeriod = std::chrono::milliseconds(1500);
  /** Fewer upstreams are ordered only after they were too many this long. */
  Duration mShrinkAfter = std::chrono::seconds(8);
  /** Then by half at the most, and by half again after this long. */
  Duration mShrinkInterval = std::chrono::seconds(3);
  /** None are given up for this long after others were refused... */
  Duration mShortageHold = std::chrono::seconds(3);
  /** ...but too many are not kept for longer than this. */
  Duration mMaxShrinkDelay = std::chrono::seconds(25);
  /** With fewer reclaimable ones than this part, onDemand ones are taken. */
  double mOnDemandShare = 0.5;
  /** Lasting ones are kept at least this long. */
  Duration mMinOnDemandTime = std::chrono::seconds(3);
};

/** Ready upstreams of one kind in one failure domain. */
struct PoolKey
{
  FailureDomain mDomain;
  bool mReclaimable = false;

  auto operator<=>(const PoolKey&) const = default;
};

/** What is known of one service when its pool is planned. */
struct PoolView
{
  std::map<PoolKey, std::uint32_t> mReady;
  /** Requests that run at all its upstreams. */
  double mRunning = 0.0;
};

/**
 * How many upstreams of one service to have, where and of which kind.
 * Reclaimable ones cost a fraction and are spread over all failure domains, so
 * that a reclaimed domain takes a part only; onDemand ones are given up once
 * reclaimable ones stand in for them, and taken where those are refused.
 *
 * A pure step. Not thread-safe.
 */
class PoolPlanner
{
public:
  explicit PoolPlanner(PoolOptions aOptions);

  /** Returns the orders to give now. */
  std::vector<PoolOrder> Plan(const gateway::ServiceProfile& aService,
                              const PoolView& aView,
                              TimePoint aNow);
  /** Says how an order ended; aRefused: there are none to be had. */
  void HandleResult(const PoolOrder& aOrder,
                    bool aDone,
                    bool aRefused,
                    TimePoint aNow);
  /** Upstreams wanted in all, as last planned. */
  std::uint32_t Wanted() const { return mWanted; }

private:
  struct Slot
  {
    /** The last order that the cloud took. */
    std::optional<std::uint32_t> mOrdered;
    TimePoint mOrderedAt;
    bool mOrderPending = false;
    TimePoint mRefusedUntil;
  };

  bool IsObserving(TimePoint aNow) const;
  std::uint32_t TotalWanted(const gateway::ServiceProfile& aService,
                            const PoolView& aView,
                            TimePoint aNow);
  std::uint32_t ShrinkTarget(std::uint32_t aWanted, TimePoint aNow);
  void RecordDiscovered(const gateway::ScalingProfile& aScaling,
                        const PoolView& aView,
                        TimePoint aNow);
  void Place(const gateway::ServiceProfile& aService,
             const PoolView& aView,
             TimePoint aNow,
             std::map<PoolKey, std::uint32_t>& aDesired);
  bool HasShortage(TimePoint aNow) const;
  std::uint32_t CurrentOnDemandNeed(const PoolView& aView,
                                    TimePoint aNow) const;
  std::uint32_t OnDemandNeed(const PoolView& aView, TimePoint aNow);
  static void PlaceOnDemand(
    const PoolView& aView,
    const std::vector<std::pair<double, FailureDomain>>& aDomains,
    std::uint32_t aWanted,
    std::uint32_t aMax,
    std::map<PoolKey, std::uint32_t>& aDesired);
  bool IsOrderDue(const Slot& aSlot,
                  std::uint32_t aReady,
                  std::uint32_t aDesired,
                  Duration aBoot,
                  TimePoint aNow) const;

  PoolOptions mOptions;
  std::map<PoolKey, Slot> mSlots;
  std::uint32_t mWanted = 0;
  bool mLoadSeen = false;
  /** The most that ran before any load without having been ordered here. */
  std::uint32_t mDiscoveredOnDemand = 0;
  std::uint32_t mDiscoveredReclaimable = 0;
  bool mOnDemandOrdered = false;
  std::optional<TimePoint> mPlanningSince;
  std::optional<TimePoint> mExcessSince;
  /** When fewer were wanted for long enough, and there were fewer then. */
  std::optional<TimePoint> mLastShrinkAt;
  std::optional<TimePoint> mRefusedAt;
  /** Lasting upstreams that stand in for reclaimable ones. */
  std::uint32_t mOnDemandNeed = 0;
  TimePoint mOnDemandNeededAt;
};

} // namespace peridotspool::fleet
