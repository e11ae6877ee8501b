#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/rollout/AllowanceAccount.h"
#include "peridotspool/rollout/RolloutSchedule.h"
#include "peridotspool/rollout/RolloutTable.h"
#include "peridotspool/rollout/VersionComparison.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace peridotspool::rollout {

struct RolloutOptions
{
  /** Maximum share of a service's requests that a bad version receives... */
  double mMaxExposureShare = 0.1;
  /** ...plus this number of requests. */
  double mExposureSlack = 50.0;
  /** Shares and allowances of entries expire after this time. */
  Duration mLease = std::chrono::seconds(2);
  /**
   * A new leader collects reports from all entries for this long before it
   * decides.
   */
  Duration mObservationPeriod = std::chrono::milliseconds(700);
  /** A change that was not committed is proposed again after this time. */
  Duration mProposalRetryInterval = std::chrono::milliseconds(500);
};

enum class RolloutStage
{
  /** The new version gets few requests, by which it is evaluated. */
  kWatching,
  /** The new version's share of traffic increases. */
  kShifting,
  /**
   * The new version gets all requests; the old one finishes its running ones.
   */
  kDraining,
  /** The new version was found bad and gets no more requests. */
  kStopped,
};
BOOST_DESCRIBE_ENUM(RolloutStage, kWatching, kShifting, kDraining, kStopped)

/** Numbers of ready upstreams of a service by version during a rollout. */
struct VersionPools
{
  std::uint32_t mOld = 0;
  std::uint32_t mNew = 0;
};

/** The inputs of a decision, for the log. */
struct RolloutNotice
{
  RolloutId mRollout;
  ServiceName mService;
  VersionName mTo;
  RolloutStage mStage = RolloutStage::kWatching;
  std::uint32_t mShare = 0;
  Duration mElapsed{ 0 };
  Duration mLeft{ 0 };
  std::uint64_t mRequests = 0;
  std::uint64_t mUsed = 0;
  std::uint64_t mOldRunning = 0;
  VersionPools mPools;
  std::string mEvidence;
};

using RolloutChange = std::variant<RolloutEnd, RolloutAdvance>;

struct RolloutStep
{
  /** Changes to commit; each is proposed again until it is committed. */
  std::vector<RolloutChange> mChanges;
  std::vector<RolloutNotice> mNotices;
};

/**
 * The control leader's part of rollouts. It lets entries try the new version on
 * few requests, evaluates it by the responses, moves all traffic to it in
 * steps, and completes the rollout or rolls it back.
 *
 * A state machine without clock, threads or sockets; not thread-safe.
 */
class RolloutController
{
public:
  explicit RolloutController(RolloutOptions aOptions)
    : mOptions(aOptions)
  {
  }

  void HandleReport(const RolloutReport& aReport,
                    std::uint64_t aTerm,
                    TimePoint aNow);
  /**
   * Advances all rollouts of the committed table; aMicros is the time of day.
   */
  RolloutStep Step(const RolloutTable& aTable,
                   const std::map<ServiceName, VersionPools>& aPools,
                   std::int64_t aMicros,
                   TimePoint aNow);
  /** Returns the update for the entry with this process incarnation. */
  RolloutUpdate UpdateFor(std::uint64_t aIncarnation,
                          const RolloutTable& aTable,
                          std::uint64_t aTerm);

private:
  struct Progress
  {
    RolloutProgress mLast;
    TimePoint mReportedAt;
  };
  struct Run
  {
    Run(const Rollout& aRollout, TimePoint aOrderedAt, TimePoint aNow)
      : mOrderedAt(aOrderedAt)
      , mFirstSeenAt(aNow)
      , mSchedule(
          ScheduleFor(aRollout.mOrder.mDuration, aRollout.mOrder.mDuration))
      , mAccount(aRollout.mReserved)
    {
    }

    TimePoint mOrderedAt;
    TimePoint mFirstSeenAt;
    RolloutSchedule mSchedule;
    AllowanceAccount mAccount;
    RolloutStage mStage = RolloutStage::kWatching;
    TimePoint mStageAt;
    std::uint32_t mShare = 0;
    std::string mReason;
    std::optional<TimePoint> mProposedAt;
    std::unordered_map<std::uint64_t, Progress> mProgress;
    /** Answers reported by all entries, merged at intervals. */
    AnswersByRoute mAnswers;
    TimePoint mMergedAt;
    /** Earlier snapshots of mAnswers, oldest first. */
    std::deque<std::pair<TimePoint, AnswersByRoute>> mHistory;
  };

  bool IsObserving(const Run& aRun, TimePoint aNow) const;
  std::uint64_t ExposureBound(const Run& aRun) const;
  void Advance(Run& aRun,
               const Rollout& aRollout,
               const VersionPools& aPools,
               TimePoint aNow,
               RolloutStep& aStep);
  bool MayShift(const Run& aRun, const VersionPools& aPools) const;
  void EnterStage(Run& aRun,
                  const Rollout& aRollout,
                  const VersionPools& aPools,
                  RolloutStage aStage,
                  std::uint32_t aShare,
                  TimePoint aNow,
                  RolloutStep& aStep);
  static AnswersByRoute Merged(const Run& aRun);
  static void Reschedule(Run& aRun, const Rollout& aRollout);
  static void Resume(Run& aRun, const Rollout& aRollout, TimePoint aNow);
  std::optional<VersionEvidence> FindEvidence(Run& aRun, TimePoint aNow) const;
  static bool IsDrained(const Run& aRun, TimePoint aNow);
  void Propose(Run& aRun,
               const Rollout& aRollout,
               std::int64_t aMicros,
               TimePoint aNow,
               RolloutStep& aStep) const;

  RolloutOptions mOptions;
  std::map<RolloutId, Run> mRuns;
  std::uint64_t mSequence = 0;
};

} // namespace peridotspool::rollout
