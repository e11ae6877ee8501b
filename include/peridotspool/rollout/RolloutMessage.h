#pragma once

#include "peridotspool/rollout/Rollout.h"

#include <map>
#include <optional>
#include <vector>

namespace peridotspool::rollout {

/** How often a figure fell into each class of a logarithmic scale. */
using BucketCounts = std::map<std::uint32_t, std::uint64_t>;

/** What one entry saw of the answers of one route. */
struct AnswerTally
{
  std::string mRoute;
  /** Of the new version; unset: all upstreams of the old one together. */
  UpstreamName mUpstream;
  std::uint64_t mAnswers = 0;
  std::uint64_t mFailed = 0;
  /** Milliseconds of an answer, or between two events of a stream. */
  BucketCounts mPace;
  /** Time to a stream's first event, in hundredths of what reading its whole
   * prompt takes. */
  BucketCounts mFirstEvent;
  /** Milliseconds of whole answers, streams included. */
  BucketCounts mTotalTime;

  auto operator<=>(const AnswerTally&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  AnswerTally,
  (),
  (mRoute, mUpstream, mAnswers, mFailed, mPace, mFirstEvent, mTotalTime))

/** An entry's part in a rollout that runs, counted since it heard of it. */
struct RolloutProgress
{
  RolloutId mRollout;
  /** Requests that it has sent to the service. */
  std::uint64_t mRequests = 0;
  /** Requests that it has sent to the new version under an allowance. */
  std::uint64_t mUsed = 0;
  /** Up to how many it may; mUsed once its lease has run out. */
  std::uint64_t mAllowed = 0;
  /** The new version's share in force here, in thousandths. */
  std::uint32_t mShare = 0;
  /** Requests that it has at upstreams of the old version. */
  std::uint64_t mOldRunning = 0;
  std::vector<AnswerTally> mTallies;

  auto operator<=>(const RolloutProgress&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  RolloutProgress,
  (),
  (mRollout, mRequests, mUsed, mAllowed, mShare, mOldRunning, mTallies))

/** From an entry to the control replicas; replaces its last one. */
struct RolloutReport
{
  /** Names one life of the entry's process. */
  std::uint64_t mLife = 0;
  /** The last update from the leader that it has taken. */
  std::uint64_t mTerm = 0;
  std::uint64_t mSequence = 0;
  std::vector<RolloutProgress> mProgress;

  auto operator<=>(const RolloutReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(RolloutReport, (), (mLife, mTerm, mSequence, mProgress))

/** A rollout that runs, as an entry is to work by it. */
struct RolloutShare
{
  RolloutId mRollout;
  VersionName mTo;
  /** Of each thousand requests so many go to the new version. */
  std::uint32_t mShare = 0;
  /** Besides, the entry may send it so many in all. */
  std::uint64_t mAllowed = 0;

  auto operator<=>(const RolloutShare&) const = default;
};
BOOST_DESCRIBE_STRUCT(RolloutShare, (), (mRollout, mTo, mShare, mAllowed))

/** Which versions of a service may get requests. */
struct ServiceVersions
{
  ServiceName mService;
  /** If set, no other but that of a running rollout. */
  VersionName mCurrent;
  std::vector<VersionName> mRolledBack;
  std::optional<RolloutShare> mRunning;

  auto operator<=>(const ServiceVersions&) const = default;
};
BOOST_DESCRIBE_STRUCT(ServiceVersions,
                      (),
                      (mService, mCurrent, mRolledBack, mRunning))

/** From the leader to an entry; replaces what it was told before. */
struct RolloutUpdate
{
  std::uint64_t mTerm = 0;
  /** Rises with each update of a leader to an entry. */
  std::uint64_t mSequence = 0;
  /** Of the table that this was made from. */
  std::uint64_t mNumber = 0;
  /** Shares and allowances hold for this long. */
  Duration mLease{ 0 };
  std::vector<ServiceVersions> mServices;

  auto operator<=>(const RolloutUpdate&) const = default;
};
BOOST_DESCRIBE_STRUCT(RolloutUpdate,
                      (),
                      (mTerm, mSequence, mNumber, mLease, mServices))

} // namespace peridotspool::rollout
