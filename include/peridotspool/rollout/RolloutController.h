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
  /** Of all requests to a service, a bad version gets at most this part... */
  double mMaxExposureShare = 0.1;
  /** ...and so many besides. */
  double mExposureSlack = 50.0;
  /** Shares and allowances of entries run out after this long. */
  Duration mLease = std::chrono::seconds(2);
  /** A new leader hears all entries for this long before it decides. */
  Duration mObservationPeriod = std::chrono::milliseconds(700);
  /** A change that wasn't committed is proposed again after this long. */
  Duration mProposalRetryInterval = std::chrono::milliseconds(500);
};

enum class RolloutStage
{
  /** The new version gets few requests, to be judged by. */
  kWatching,
  /** Its share rises. */
  kShifting,
  /** It gets all; the old one finishes what it runs. */
  kDraining,
  /** It was found bad and gets nothing any more. */
  kStopped,
};
BOOST_DESCRIBE_ENUM(RolloutStage, kWatching, kShifting, kDraining, kStopped)

/** Ready upstreams of a service that a rollout runs for. */
struct VersionPools
{
  std::uint32_t mOld = 0;
  std::uint32_t mNew = 0;
};

/** What a decision was made from, for the log. */
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
  /** To be committed; each comes again until it is. */
  std::vector<RolloutChange> mChanges;
  std::vector<RolloutNotice> mNotices;
};

/**
 * The control leader's part in rollouts: it lets entries try the new version on
 * few requests, judges it by their answers, moves all traffic to it in steps,
 * and completes the rollout, or rolls it back.
 *
 * A pure step; not thread-safe.
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
  /** Follows the committed table; aMicros is the time of day. */
  RolloutStep Step(const RolloutTable& aTable,
                   const std::map<ServiceName, VersionPools>& aPools,
                   std::int64_t aMicros,
                   TimePoint aNow);
  /** What to tell an entry whose process has this incarnation. */
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
    /** What all entries together have seen, put together now and then. */
    AnswersByRoute mAnswers;
    TimePoint mMergedAt;
    /** Answers as they were some time ago, the oldest first. */
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
