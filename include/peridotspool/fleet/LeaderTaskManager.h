#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/fleet/CloudCall.h"
#include "peridotspool/fleet/PoolPlanner.h"
#include "peridotspool/fleet/UsageAggregator.h"
#include "peridotspool/gateway/MedianClock.h"
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
  /** Usage of a window is due this long after the window's end. */
  Duration mUsageDueAfter = std::chrono::seconds(10);
  /** No two leaders act alternately within this time. */
  Duration mLease = std::chrono::seconds(3);
  /**
   * A usage report without a successful response is retried after this time.
   * Any call without a response is cancelled after four times as long.
   */
  Duration mRetryInterval = std::chrono::milliseconds(700);
  PoolOptions mPool;
};

/** What the replica knows when it runs the leader tasks. */
struct LeaderTaskView
{
  /** True if this replica leads and its lease is valid. */
  bool mLeads = false;
  /** Increases with each leader. */
  std::uint64_t mTerm = 0;
  /** The windows committed to the control log, in increasing order. */
  const std::vector<gateway::UsageWindow>* mCommitted = nullptr;
  const gateway::RouteTable* mTable = nullptr;
  const std::map<ServiceName, PoolView>* mPools = nullptr;
};

/**
 * Commit these counts to the control log before reporting them to the cloud.
 */
struct CommitUsage
{
  gateway::UsageWindow mWindow;
};

/** Send a call to the cloud; its result is passed back with mNumber. */
struct SendCloudCall
{
  std::uint64_t mNumber = 0;
  CloudCall mCall;
  std::uint64_t mFence = 0;
};

/** Abandon a call; what the cloud has not received of it is not to reach it. */
struct CancelCloudCall
{
  std::uint64_t mNumber = 0;
};

using LeaderTaskEffect =
  std::variant<CommitUsage, SendCloudCall, CancelCloudCall>;

/**
 * Tasks that only the control leader runs: it reports usage by window and
 * orders upstreams from the cloud.
 *
 * A state machine without clock, threads or sockets. Not thread-safe.
 */
class LeaderTaskManager
{
public:
  explicit LeaderTaskManager(LeaderTaskOptions aOptions);

  void RecordReport(const gateway::UsageReport& aReport, TimePoint aNow);
  /**
   * Records the HTTP status of a call; aStatus is 0 when there was no response.
   * @param aRetryAfter how long the cloud wants no further call of any kind
   */
  void HandleResult(std::uint64_t aNumber,
                    unsigned aStatus,
                    Duration aRetryAfter,
                    TimePoint aNow);
  std::vector<LeaderTaskEffect> Tick(const LeaderTaskView& aView,
                                     TimePoint aNow);
  /**
   * Returns the number of requests running at a service's upstreams, according
   * to the entries' reports.
   */
  double Running(const ServiceName& aService, TimePoint aNow) const;
  /** Returns the upstreams of the service that have a rate limit. */
  gateway::LimitedUpstreams Limited(const ServiceName& aService,
                                    TimePoint aNow) const;
  /** Returns the time of day that most processes agree on, in microseconds. */
  std::optional<std::int64_t> CommonMicros(TimePoint aNow) const
  {
    return mClock.Micros(aNow);
  }
  void RecordWallClock(std::uint64_t aProcess,
                       std::int64_t aMicros,
                       TimePoint aNow)
  {
    mClock.RecordReading(aProcess, aMicros, aNow);
  }
  /** Returns true iff this replica may act as the leader at aNow. */
  bool MayAct(const LeaderTaskView& aView, TimePoint aNow) const;

private:
  struct PendingCall
  {
    CloudCall mCall;
    TimePoint mAt;
  };

  void UpdateLeadership(const LeaderTaskView& aView,
                        TimePoint aNow,
                        std::vector<LeaderTaskEffect>& aEffects);
  void CancelCalls(std::vector<LeaderTaskEffect>& aEffects);
  void ExpireCalls(TimePoint aNow, std::vector<LeaderTaskEffect>& aEffects);
  void CommitDueUsage(const LeaderTaskView& aView,
                      TimePoint aNow,
                      std::vector<LeaderTaskEffect>& aEffects);
  void DeliverUsage(const LeaderTaskView& aView,
                    TimePoint aNow,
                    std::vector<LeaderTaskEffect>& aEffects);
  void OrderPools(const LeaderTaskView& aView,
                  TimePoint aNow,
                  std::vector<LeaderTaskEffect>& aEffects);
  SendCloudCall MakeCall(CloudCall aCall, std::uint64_t aFence, TimePoint aNow);

  LeaderTaskOptions mOptions;
  UsageAggregator mUsage;
  gateway::MedianClock mClock;
  struct Load
  {
    std::map<ServiceName, std::uint64_t> mRunning;
    std::map<ServiceName, gateway::LimitedUpstreams> mLimited;
    TimePoint mAt;
  };

  std::map<std::uint64_t, Load> mLoads;
  ScanLimiter mLoadScan{ std::chrono::milliseconds(200) };
  std::map<ServiceName, PoolPlanner> mPlanners;
  std::map<std::uint64_t, PendingCall> mPendingCalls;
  std::uint64_t mLastCallNumber = 0;
  /** The cloud wants no call before. */
  TimePoint mNoCallBefore;
  std::uint64_t mTerm = 0;
  std::optional<TimePoint> mLeadingSince;
  std::optional<std::uint64_t> mProposedWindow;
  TimePoint mProposedAt;
  std::set<std::uint64_t> mDelivered;
  std::map<std::uint64_t, TimePoint> mLastAttemptAt;
};

} // namespace peridotspool::fleet
