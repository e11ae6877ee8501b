#pragma once

#include "peridotspool/ledger/LogVersion.h"
#include "peridotspool/ledger/Origin.h"
#include "peridotspool/ledger/RequestRecord.h"

#include <boost/describe/class.hpp>
#include <optional>
#include <vector>

namespace peridotspool::ledger {

/** Requests the next part of a member's copy of a shard. */
struct PullMessage
{
  ShardId mShard;
  EpochNumber mInterval;
  /**
   * The version that the requester holds. If it is a prefix of the member's
   * history, only changes are sent.
   */
  LogVersion mHeld;
  /** The last key received; empty when requesting the first part. */
  std::optional<RequestKey> mAfter;

  auto operator<=>(const PullMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(PullMessage, (), (mShard, mInterval, mHeld, mAfter))

/** A record and the replica's metadata, as sent in a transfer. */
struct RecordCopy
{
  RequestRecord mRecord;
  Origin mAccepted;
  Duration mRemaining{ 0 };
  /**
   * Time until the record may be deleted; meaningless while the request is
   * unfinished.
   */
  Duration mRetireIn{ 0 };
  /** True iff the answer was acknowledged and only a marker remains. */
  bool mForgotten = false;
  /** Earlier accepts of this key that ended as refused. */
  std::vector<Origin> mRefusedAccepts;

  auto operator<=>(const RecordCopy&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  RecordCopy,
  (),
  (mRecord, mAccepted, mRemaining, mRetireIn, mForgotten, mRefusedAccepts))

/**
 * A position in a shard's log and the key of the record that was changed there.
 */
struct LogEntry
{
  LogVersion mVersion;
  /** Empty for an operation that changed nothing. */
  std::optional<RequestKey> mKey;

  auto operator<=>(const LogEntry&) const = default;
};
BOOST_DESCRIBE_STRUCT(LogEntry, (), (mVersion, mKey))

/** A part of a copy, sorted by key. */
struct ChunkMessage
{
  ShardId mShard;
  EpochNumber mInterval;
  /** The value of PullMessage::mAfter in the request. */
  std::optional<RequestKey> mAfter;
  /**
   * True iff the transfer contains all records rather than only the changes.
   */
  bool mWhole = false;
  LogVersion mTarget;
  std::vector<RecordCopy> mRecords;
  /** Keys whose records were deleted. */
  std::vector<RequestKey> mRemoved;
  /** The last key processed; empty on the last part. */
  std::optional<RequestKey> mNext;
  /** The log entries of the changes; set on the last part. */
  std::vector<LogEntry> mLog;

  auto operator<=>(const ChunkMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  ChunkMessage,
  (),
  (mShard, mInterval, mAfter, mWhole, mTarget, mRecords, mRemoved, mNext, mLog))

} // namespace peridotspool::ledger
