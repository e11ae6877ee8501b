#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/fleet/DutyCall.h"
#include "peridotspool/fleet/PoolPlanner.h"
#include "peridotspool/fleet/UsageDesk.h"
#include "peridotspool/gateway/MedianClock.h"
#include "peridotspool/gateway/RouteTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace peridotspool::fleet {

struct DutyOptions
{
  Duration mUsageWindow = std::chrono::seconds(5);
  /** How long after a window's end its usage is due. */
  Duration mUsageLate = std::chrono::seconds(10);
  /** Two holders are never in charge within this time of each other. */
  Duration mLease = std::chrono::seconds(3);
  /** A call without an answer for this long is made again. */
  Duration mRetryAfter = std::chrono::milliseconds(700);
  PoolOptions mPool;
};

/** What the replica knows when it looks at its duties. */
struct DutyView
{
  /** This replica leads and its lease holds. */
  bool mLeads = false;
  /** Rises with each leader. */
  std::uint64_t mTerm = 0;
  /** The windows that the log has committed, in rising order. */
  const std::vector<gateway::UsageWindow>* mCommitted = nullptr;
  const gateway::RouteTable* mTable = nullptr;
  const std::map<ServiceName, PoolView>* mPools = nullptr;
};

/** Commit these counts before anybody is told of them. */
struct CommitUsage
{
  gateway::UsageWindow mWindow;
};

/** Call the cloud; the result comes back with the number. */
struct CallCloud
{
  std::uint64_t mNumber = 0;
  DutyCall mCall;
  std::uint64_t mFence = 0;
};

using DutyEffect = std::variant<CommitUsage, CallCloud>;

/**
 * The duties of the one holder: usage by window and orders of upstreams.
 *
 * A pure step. Not thread-safe.
 */
class DutyDesk
{
public:
  explicit DutyDesk(DutyOptions aOptions);

  void TakeReport(const gateway::UsageReport& aReport, TimePoint aNow);
  /** aStatus is 0 when there was no answer. */
  void TakeResult(std::uint64_t aNumber, unsigned aStatus, TimePoint aNow);
  std::vector<DutyEffect> Tick(const DutyView& aView, TimePoint aNow);
  /** Requests that run at a service's upstreams, by the entries' reports. */
  double Running(const ServiceName& aService, TimePoint aNow) const;
  /** What most processes take for the time of day. */
  std::optional<std::int64_t> CommonMicros(TimePoint aNow) const
  {
    return mClock.Micros(aNow);
  }
  void TakeWall(std::uint64_t aProcess, std::int64_t aMicros, TimePoint aNow)
  {
    mClock.RecordReading(aProcess, aMicros, aNow);
  }
  /** Returns true iff this replica may act at aNow. */
  bool Holds(const DutyView& aView, TimePoint aNow) const;

private:
  struct UnderWay
  {
    DutyCall mCall;
    TimePoint mAt;
  };

  void NoteLead(const DutyView& aView, TimePoint aNow);
  void ExpireCalls(TimePoint aNow);
  void TellUsage(const DutyView& aView,
                 TimePoint aNow,
                 std::vector<DutyEffect>& aEffects);
  void OrderPools(const DutyView& aView,
                  TimePoint aNow,
                  std::vector<DutyEffect>& aEffects);
  CallCloud MakeCall(DutyCall aCall, std::uint64_t aFence, TimePoint aNow);

  DutyOptions mOptions;
  UsageDesk mUsage;
  gateway::MedianClock mClock;
  struct Load
  {
    std::map<ServiceName, std::uint64_t> mRunning;
    TimePoint mAt;
  };

  std::map<std::uint64_t, Load> mLoads;
  std::map<ServiceName, PoolPlanner> mPlanners;
  std::map<std::uint64_t, UnderWay> mUnderWay;
  std::uint64_t mLastNumber = 0;
  std::uint64_t mTerm = 0;
  std::optional<TimePoint> mLeadsSince;
  std::optional<std::uint64_t> mProposed;
  TimePoint mProposedAt;
  std::set<std::uint64_t> mDelivered;
  std::map<std::uint64_t, TimePoint> mTriedAt;
};

} // namespace peridotspool::fleet
