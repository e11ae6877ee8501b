#pragma once

#include "peridotspool/rollout/Rollout.h"

#include <map>
#include <optional>
#include <vector>

namespace peridotspool::rollout {

/** Counts of values by bucket of a logarithmic histogram. */
using BucketCounts = std::map<std::uint32_t, std::uint64_t>;

/** Answers of one route as counted by one entry. */
struct AnswerTally
{
  std::string mRoute;
  /**
   * Upstream of the new version; unset for all upstreams of the old version
   * together.
   */
  UpstreamName mUpstream;
  std::uint64_t mAnswers = 0;
  std::uint64_t mFailed = 0;
  /** Milliseconds of an answer, or between two events of a stream. */
  BucketCounts mPace;
  /**
   * Time to a stream's first event, in hundredths of the time to prefill its
   * whole prompt.
   */
  BucketCounts mFirstEvent;
  /** Milliseconds of whole answers, including streams. */
  BucketCounts mTotalTime;

  auto operator<=>(const AnswerTally&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  AnswerTally,
  (),
  (mRoute, mUpstream, mAnswers, mFailed, mPace, mFirstEvent, mTotalTime))

/**
 * An entry's progress in a running rollout, counted since it learned of the
 * rollout.
 */
struct RolloutProgress
{
  RolloutId mRollout;
  /** Requests that it has sent to the service. */
  std::uint64_t mRequests = 0;
  /** Requests that it has sent to the new version under an allowance. */
  std::uint64_t mUsed = 0;
  /**
   * Upper bound of mUsed; equal to mUsed once the entry's lease has expired.
   */
  std::uint64_t mAllowed = 0;
  /** The new version's share in force at this entry, in thousandths. */
  std::uint32_t mShare = 0;
  /** Requests that it has running at upstreams of the old version. */
  std::uint64_t mOldRunning = 0;
  std::vector<AnswerTally> mTallies;

  auto operator<=>(const RolloutProgress&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  RolloutProgress,
  (),
  (mRollout, mRequests, mUsed, mAllowed, mShare, mOldRunning, mTallies))

/** Sent by an entry to the control replicas; replaces its previous report. */
struct RolloutReport
{
  /** Identifies one incarnation of the entry's process. */
  std::uint64_t mLife = 0;
  /** The last update from the leader that the entry has applied. */
  std::uint64_t mTerm = 0;
  std::uint64_t mSequence = 0;
  std::vector<RolloutProgress> mProgress;

  auto operator<=>(const RolloutReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(RolloutReport, (), (mLife, mTerm, mSequence, mProgress))

/** The parameters by which an entry takes part in a running rollout. */
struct RolloutShare
{
  RolloutId mRollout;
  VersionName mTo;
  /** Share of requests that go to the new version, in thousandths. */
  std::uint32_t mShare = 0;
  /**
   * Total number of requests that the entry may send to the new version
   * besides.
   */
  std::uint64_t mAllowed = 0;

  auto operator<=>(const RolloutShare&) const = default;
};
BOOST_DESCRIBE_STRUCT(RolloutShare, (), (mRollout, mTo, mShare, mAllowed))

/** Which versions of a service may get requests. */
struct ServiceVersions
{
  ServiceName mService;
  /** If set, only this version and that of a running rollout get requests. */
  VersionName mCurrent;
  std::vector<VersionName> mRolledBack;
  std::optional<RolloutShare> mRunning;

  auto operator<=>(const ServiceVersions&) const = default;
};
BOOST_DESCRIBE_STRUCT(ServiceVersions,
                      (),
                      (mService, mCurrent, mRolledBack, mRunning))

/** Sent by the leader to an entry; replaces the previous update. */
struct RolloutUpdate
{
  std::uint64_t mTerm = 0;
  /** Increases with each update from a leader to an entry. */
  std::uint64_t mSequence = 0;
  /** Number of the rollout table that the update was made from. */
  std::uint64_t mNumber = 0;
  /** How long shares and allowances are valid. */
  Duration mLease{ 0 };
  std::vector<ServiceVersions> mServices;

  auto operator<=>(const RolloutUpdate&) const = default;
};
BOOST_DESCRIBE_STRUCT(RolloutUpdate,
                      (),
                      (mTerm, mSequence, mNumber, mLease, mServices))

} // namespace peridotspool::rollout
