#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/fleet/CloudCall.h"
#include "peridotspool/fleet/PoolPlanner.h"
#include "peridotspool/fleet/UsageAggregator.h"
#include "peridotspool/gateway/CommonClock.h"
#include "peridotspool/gateway/RouteTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace peridotspool::fleet {

struct LeaderTaskOptions
{
  Duration mUsageWindow = std::chrono::seconds(5);
  /** How long after a window's end its usage is due. */
  Duration mUsageDueAfter = std::chrono::seconds(10);
  /** Two holders are never in charge within this time of each other. */
  Duration mLease = std::chrono::seconds(3);
  /** A call without an answer for this long is made again. */
  Duration mRetryInterval = std::chrono::milliseconds(700);
  PoolOptions mPool;
};

/** What the replica knows when it looks at its duties. */
struct LeaderTaskView
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
struct SendCloudCall
{
  std::uint64_t mNumber = 0;
  CloudCall mCall;
  std::uint64_t mFence = 0;
};

using LeaderTaskEffect = std::variant<CommitUsage, SendCloudCall>;

/**
 * The duties of the one holder: usage by window and orders of upstreams.
 *
 * A pure step. Not thread-safe.
 */
class LeaderTaskManager
{
public:
  explicit LeaderTaskManager(LeaderTaskOptions aOptions);

  void RecordReport(const gateway::UsageReport& aReport, TimePoint aNow);
  /** aStatus is 0 when there was no answer. */
  void HandleResult(std::uint64_t aNumber, unsigned aStatus, TimePoint aNow);
  std::vector<LeaderTaskEffect> Tick(const LeaderTaskView& aView,
                                     TimePoint aNow);
  /** Requests that run at a service's upstreams, by the entries' reports. */
  double Running(const ServiceName& aService, TimePoint aNow) const;
  /** What most processes take for the time of day. */
  std::optional<std::int64_t> CommonMicros(TimePoint aNow) const
  {
    return mClock.Micros(aNow);
  }
  void RecordWallClock(std::uint64_t aProcess,
                       std::int64_t aMicros,
                       TimePoint aNow)
  {
    mClock.Take(aProcess, aMicros, aNow);
  }
  /** Returns true iff this replica may act at aNow. */
  bool MayAct(const LeaderTaskView& aView, TimePoint aNow) const;

private:
  struct PendingCall
  {
    CloudCall mCall;
    TimePoint mAt;
  };

  void UpdateLeadership(const LeaderTaskView& aView, TimePoint aNow);
  void ExpireCalls(TimePoint aNow);
  void DeliverUsage(const LeaderTaskView& aView,
                    TimePoint aNow,
                    std::vector<LeaderTaskEffect>& aEffects);
  void OrderPools(const LeaderTaskView& aView,
                  TimePoint aNow,
                  std::vector<LeaderTaskEffect>& aEffects);
  SendCloudCall MakeCall(CloudCall aCall, std::uint64_t aFence, TimePoint aNow);

  LeaderTaskOptions mOptions;
  UsageAggregator mUsage;
  gateway::CommonClock mClock;
  struct Load
  {
    std::map<ServiceName, std::uint64_t> mRunning;
    TimePoint mAt;
  };

  std::map<std::uint64_t, Load> mLoads;
  std::map<ServiceName, PoolPlanner> mPlanners;
  std::map<std::uint64_t, PendingCall> mPendingCalls;
  std::uint64_t mLastCallNumber = 0;
  std::uint64_t mTerm = 0;
  std::optional<TimePoint> mLeadingSince;
  std::optional<std::uint64_t> mProposedWindow;
  TimePoint mProposedAt;
  std::set<std::uint64_t> mDelivered;
  std::map<std::uint64_t, TimePoint> mLastAttemptAt;
};

} // namespace peridotspool::fleet
