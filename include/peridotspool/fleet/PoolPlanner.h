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
  /** Minimum number of upstreams of a service, even without load. */
  std::uint32_t mMinUpstreams = 8;
  /** Target number of requests running at each upstream. */
  double mTargetConcurrency = 3.5;
  /**
   * An order is repeated if it has had no effect after the boot time plus this
   * timeout.
   */
  Duration mOrderTimeout = std::chrono::seconds(3);
  /**
   * Time before a refused order is retried. When the cloud reclaims one domain
   * after another, capacity may be available for only a second in between;
   * retrying every 1.5 s missed three of ten such gaps.
   */
  Duration mRefusedOrderBackoff = std::chrono::milliseconds(500);
  /**
   * Before any load, on-demand upstreams are not released for this long,
   * because the heartbeats of running upstreams have to arrive first.
   */
  Duration mObservationPeriod = std::chrono::milliseconds(1500);
  /** The pool shrinks only after it was too large for this long. */
  Duration mShrinkAfter = std::chrono::seconds(8);
  /** Each step at most halves the pool; this is the time between steps. */
  Duration mShrinkInterval = std::chrono::seconds(3);
  /** The pool does not shrink for this long after an order was refused... */
  Duration mShortageHold = std::chrono::seconds(3);
  /** ...but an excess does not last longer than this. */
  Duration mMaxShrinkDelay = std::chrono::seconds(25);
  /**
   * On-demand upstreams are ordered when the number of reclaimable ones falls
   * below this share of the wanted number.
   */
  double mOnDemandShare = 0.5;
  /** Minimum time for which on-demand upstreams are retained. */
  Duration mMinOnDemandTime = std::chrono::seconds(3);
};

/** Identifies the upstreams of one purchase kind in one failure domain. */
struct PoolKey
{
  FailureDomain mDomain;
  bool mReclaimable = false;

  auto operator<=>(const PoolKey&) const = default;
};

/** The known state of one service when its pool is planned. */
struct PoolView
{
  std::map<PoolKey, std::uint32_t> mReady;
  /** Requests running at all upstreams of the service. */
  double mRunning = 0.0;
  /** Upstreams that accept requests only at a limited rate. */
  std::uint32_t mLimited = 0;
  /** The part of mRunning that runs at these. */
  double mRunningAtLimited = 0.0;
};

/**
 * Plans how many upstreams a service has in each failure domain and of which
 * purchase kind. Reclaimable upstreams cost a fraction of on-demand ones. They
 * are spread over all failure domains, so a reclaimed domain removes only a
 * part. On-demand upstreams are ordered where reclaimable ones are refused, and
 * released once reclaimable ones have replaced them.
 *
 * A state machine without clock, threads or sockets. Not thread-safe.
 */
class PoolPlanner
{
public:
  explicit PoolPlanner(PoolOptions aOptions);

  /** Returns the orders to send now. */
  std::vector<PoolOrder> Plan(const gateway::ServiceProfile& aService,
                              const PoolView& aView,
                              TimePoint aNow);
  /**
   * Records the result of an order; aRefused means that the cloud has a
   * capacity shortage.
   */
  void HandleResult(const PoolOrder& aOrder,
                    bool aDone,
                    bool aRefused,
                    TimePoint aNow);
  /** Returns the total number of upstreams wanted by the last plan. */
  std::uint32_t Wanted() const { return mWanted; }

private:
  struct Slot
  {
    /** The last order that the cloud accepted. */
    std::optional<std::uint32_t> mOrdered;
    TimePoint mOrderedAt;
    bool mOrderPending = false;
    TimePoint mRefusedUntil;
  };

  bool IsObserving(TimePoint aNow) const;
  double UpstreamsForLoad(const PoolView& aView) const;
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
  /**
   * Largest numbers of upstreams found running before any load. Upstreams that
   * this planner ordered do not count.
   */
  std::uint32_t mDiscoveredOnDemand = 0;
  std::uint32_t mDiscoveredReclaimable = 0;
  bool mOnDemandOrdered = false;
  std::optional<TimePoint> mPlanningSince;
  std::optional<TimePoint> mExcessSince;
  /**
   * When the last step of a shrink was made; unset while the pool is not
   * shrinking.
   */
  std::optional<TimePoint> mLastShrinkAt;
  std::optional<TimePoint> mRefusedAt;
  /** On-demand upstreams needed in place of missing reclaimable ones. */
  std::uint32_t mOnDemandNeed = 0;
  TimePoint mOnDemandNeededAt;
};

} // namespace peridotspool::fleet
