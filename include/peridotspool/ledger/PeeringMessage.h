#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/ledger/LogVersion.h"

#include <boost/describe/class.hpp>
#include <optional>
#include <vector>

namespace peridotspool::ledger {

/**
 * A shard in one interval. An interval is a run of epochs in which the replica
 * set of the shard does not change.
 */
struct ShardInterval
{
  ShardId mShard;
  /** The epoch in which the interval was peered; it identifies the interval. */
  EpochNumber mInterval;

  auto operator<=>(const ShardInterval&) const = default;
};
BOOST_DESCRIBE_STRUCT(ShardInterval, (), (mShard, mInterval))

/**
 * A primary's query for the copies that a member holds. The member then rejects
 * messages of older intervals.
 */
struct QueryMessage
{
  std::vector<ShardInterval> mShards;

  auto operator<=>(const QueryMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(QueryMessage, (), (mShards))

/** A former replica set of a shard. */
struct PastSet
{
  /** An epoch in which the set was responsible for the shard. */
  EpochNumber mEpoch;
  /** The primary comes first. */
  std::vector<MemberId> mMembers;

  auto operator<=>(const PastSet&) const = default;
};
BOOST_DESCRIBE_STRUCT(PastSet, (), (mEpoch, mMembers))

/**
 * One member's copy of a shard and its knowledge of the shard's earlier replica
 * sets.
 */
struct ShardReport
{
  ShardId mShard;
  /**
   * The interval in which the member's copy was last activated; unset if never.
   */
  EpochNumber mActivated;
  /** The replica set of that interval. */
  std::vector<MemberId> mActivatedSet;
  LogVersion mLast;
  /** Replica sets between the activated interval and the present one. */
  std::vector<PastSet> mLater;
  /** True iff mLater is known to be complete. */
  bool mLaterIsComplete = false;
  /**
   * The last replica set all of whose members this member saw leave the member
   * list.
   */
  std::optional<PastSet> mVanished;
  /**
   * How long an unknown key must still be treated as a request that may have
   * been lost.
   */
  Duration mLossRemaining{ 0 };

  auto operator<=>(const ShardReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(ShardReport,
                      (),
                      (mShard,
                       mActivated,
                       mActivatedSet,
                       mLast,
                       mLater,
                       mLaterIsComplete,
                       mVanished,
                       mLossRemaining))

/**
 * The reply to a query; also sent without a query after an epoch change and
 * while a copy waits to be released.
 */
struct ReportMessage
{
  /** The member's epoch when it sent the report. */
  EpochNumber mEpoch;
  std::vector<ShardReport> mReports;

  auto operator<=>(const ReportMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(ReportMessage, (), (mEpoch, mReports))

/**
 * The log version that a replica must hold before it counts in the new
 * interval.
 */
struct ShardActivation
{
  ShardId mShard;
  EpochNumber mInterval;
  LogVersion mTarget;
  Duration mLossRemaining{ 0 };

  auto operator<=>(const ShardActivation&) const = default;
};
BOOST_DESCRIBE_STRUCT(ShardActivation,
                      (),
                      (mShard, mInterval, mTarget, mLossRemaining))

/**
 * A primary's request to a replica to fill its copy and to record the
 * activation.
 */
struct ActivateMessage
{
  std::vector<ShardActivation> mShards;

  auto operator<=>(const ActivateMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(ActivateMessage, (), (mShards))

/** Confirms that a replica has recorded the activation of these shards. */
struct ActivatedMessage
{
  std::vector<ShardInterval> mShards;

  auto operator<=>(const ActivatedMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(ActivatedMessage, (), (mShards))

/**
 * Rejects a message because the sender is in a later interval of this shard.
 */
struct RefusedMessage
{
  ShardInterval mShard;

  auto operator<=>(const RefusedMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(RefusedMessage, (), (mShard))

/**
 * Permits a member to drop copies outside the replica set that are no longer
 * needed.
 */
struct ReleaseMessage
{
  std::vector<ShardInterval> mShards;

  auto operator<=>(const ReleaseMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(ReleaseMessage, (), (mShards))

} // namespace peridotspool::ledger
