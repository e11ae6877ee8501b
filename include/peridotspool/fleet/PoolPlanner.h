#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/fleet/DutyCall.h"
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
  std::uint32_t mLeast = 8;
  /** Requests that run at one upstream when the pool is as large as wanted. */
  double mRunningEach = 3.5;
  /** An order is repeated when nothing came of it for boot time and this. */
  Duration mPatience = std::chrono::seconds(3);
  /** A refused order is tried again after this long. Reclaims of one domain
   * after the other leave gaps of a second in which there are some to be had;
   * with 1.5 s between two tries three of ten were missed. */
  Duration mRefusedFor = std::chrono::milliseconds(500);
  /** Before any load no upstream is given up for this long: those that run
   * already have to be heard first. */
  Duration mListenFor = std::chrono::milliseconds(1500);
  /** Fewer upstreams are ordered only after they were too many this long. */
  Duration mShrinkAfter = std::chrono::seconds(8);
  /** Then by half at the most, and by half again after this long. */
  Duration mShrinkEach = std::chrono::seconds(3);
  /** None are given up for this long after others were refused... */
  Duration mDryFor = std::chrono::seconds(3);
  /** ...but too many are not kept for longer than this. */
  Duration mKeepMost = std::chrono::seconds(25);
  /** With fewer reclaimable ones than this part, lasting ones are taken. */
  double mLastingPart = 0.5;
  /** Lasting ones are kept at least this long. */
  Duration mLastingFor = std::chrono::seconds(3);
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
 * that a reclaimed domain takes a part only; lasting ones are given up once
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
  void TakeResult(const PoolOrder& aOrder,
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
    bool mUnderWay = false;
    TimePoint mRefusedUntil;
  };

  bool Listens(TimePoint aNow) const;
  std::uint32_t WantedInAll(const gateway::ServiceProfile& aService,
                            const PoolView& aView,
                            TimePoint aNow);
  std::uint32_t Shrunk(std::uint32_t aWanted, TimePoint aNow);
  void NoteFound(const gateway::ScalingProfile& aScaling,
                 const PoolView& aView,
                 TimePoint aNow);
  void Place(const gateway::ServiceProfile& aService,
             const PoolView& aView,
             TimePoint aNow,
             std::map<PoolKey, std::uint32_t>& aDesired);
  bool IsDry(TimePoint aNow) const;
  std::uint32_t LackingNow(const PoolView& aView, TimePoint aNow) const;
  std::uint32_t Lacking(const PoolView& aView, TimePoint aNow);
  static void PlaceLasting(
    const PoolView& aView,
    const std::vector<std::pair<double, FailureDomain>>& aDomains,
    std::uint32_t aWanted,
    std::uint32_t aMost,
    std::map<PoolKey, std::uint32_t>& aDesired);
  bool IsDue(const Slot& aSlot,
             std::uint32_t aReady,
             std::uint32_t aDesired,
             Duration aBoot,
             TimePoint aNow) const;

  PoolOptions mOptions;
  std::map<PoolKey, Slot> mSlots;
  std::uint32_t mWanted = 0;
  bool mLoadSeen = false;
  /** The most that ran before any load without having been ordered here. */
  std::uint32_t mFoundLasting = 0;
  std::uint32_t mFoundReclaimable = 0;
  bool mLastingOrdered = false;
  std::optional<TimePoint> mPlansSince;
  std::optional<TimePoint> mTooManySince;
  /** When fewer were wanted for long enough, and there were fewer then. */
  std::optional<TimePoint> mShrunkAt;
  std::optional<TimePoint> mRefusedAt;
  /** Lasting upstreams that stand in for reclaimable ones. */
  std::uint32_t mLacking = 0;
  TimePoint mLackingAt;
};

} // namespace peridotspool::fleet
