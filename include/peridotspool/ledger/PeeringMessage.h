#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/ledger/LogVersion.h"

#include <boost/describe/class.hpp>
#include <optional>
#include <vector>

namespace peridotspool::ledger {

/** A shard under one interval: epochs in which its replica set stays alike. */
struct ShardInterval
{
  ShardId mShard;
  /** The epoch that names the interval: the one it was peered in. */
  EpochNumber mInterval;

  auto operator<=>(const ShardInterval&) const = default;
};
BOOST_DESCRIBE_STRUCT(ShardInterval, (), (mShard, mInterval))

/** A primary asks what a member holds; the member then refuses older ones. */
struct QueryMessage
{
  std::vector<ShardInterval> mShards;

  auto operator<=>(const QueryMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(QueryMessage, (), (mShards))

/** A replica set that was in charge of a shard and no longer is. */
struct PastSet
{
  /** An epoch in which it was in charge. */
  EpochNumber mEpoch;
  /** The primary comes first. */
  std::vector<MemberId> mMembers;

  auto operator<=>(const PastSet&) const = default;
};
BOOST_DESCRIBE_STRUCT(PastSet, (), (mEpoch, mMembers))

/** What one member holds of one shard, and knows of its past. */
struct ShardReport
{
  ShardId mShard;
  /** The interval that its copy was last activated in; unset if never. */
  EpochNumber mActivated;
  /** The replica set of that interval. */
  std::vector<MemberId> mActivatedSet;
  LogVersion mLast;
  /** Sets in charge between the activated interval and the present one. */
  std::vector<PastSet> mLater;
  /** True iff mLater is known to lack none. */
  bool mLaterIsComplete = false;
  /** The last set that the member saw leave the member list as a whole. */
  std::optional<PastSet> mVanished;
  /** For how long unknown keys may still name lost requests. */
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

/** Answers a query, or comes unasked after an epoch change. */
struct ReportMessage
{
  /** The member's epoch when it reported. */
  EpochNumber mEpoch;
  std::vector<ShardReport> mReports;

  auto operator<=>(const ReportMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(ReportMessage, (), (mEpoch, mReports))

/** What a replica must hold before it counts in the new interval. */
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

/** A primary asks a replica to fill its copy and to record the activation. */
struct ActivateMessage
{
  std::vector<ShardActivation> mShards;

  auto operator<=>(const ActivateMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(ActivateMessage, (), (mShards))

/** A replica has recorded the activation of these. */
struct ActivatedMessage
{
  std::vector<ShardInterval> mShards;

  auto operator<=>(const ActivatedMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(ActivatedMessage, (), (mShards))

/** The sender has moved on to a later interval of this shard. */
struct RefusedMessage
{
  ShardInterval mShard;

  auto operator<=>(const RefusedMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(RefusedMessage, (), (mShard))

/** Copies outside the replica set that are no longer needed. */
struct ReleaseMessage
{
  std::vector<ShardInterval> mShards;

  auto operator<=>(const ReleaseMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(ReleaseMessage, (), (mShards))

} // namespace peridotspool::ledger
