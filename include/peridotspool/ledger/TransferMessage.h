#pragma once

#include "peridotspool/ledger/LogVersion.h"
#include "peridotspool/ledger/Origin.h"
#include "peridotspool/ledger/RequestRecord.h"

#include <boost/describe/class.hpp>
#include <optional>
#include <vector>

namespace peridotspool::ledger {

/** Asks a member for the next part of its copy of a shard. */
struct PullMessage
{
  ShardId mShard;
  EpochNumber mInterval;
  /** What the asker holds; if it is a prefix, only changes are sent. */
  LogVersion mHeld;
  /** The last key received; empty for the first part. */
  std::optional<RequestKey> mAfter;

  auto operator<=>(const PullMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(PullMessage, (), (mShard, mInterval, mHeld, mAfter))

/** A record with what a replica knows beside it. */
struct RecordCopy
{
  RequestRecord mRecord;
  Origin mAccepted;
  Duration mRemaining{ 0 };
  /** Until its kept answer may go; without meaning while unfinished. */
  Duration mRetireIn{ 0 };
  /** Its answer was acknowledged, and only a marker is kept. */
  bool mForgotten = false;
  /** Earlier accepts of this key that ended refused. */
  std::vector<Origin> mRefusedAccepts;

  auto operator<=>(const RecordCopy&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  RecordCopy,
  (),
  (mRecord, mAccepted, mRemaining, mRetireIn, mForgotten, mRefusedAccepts))

/** A place in a shard's log and the record that it changed. */
struct LogEntry
{
  LogVersion mVersion;
  /** Empty for an operation that changed nothing. */
  std::optional<RequestKey> mKey;

  auto operator<=>(const LogEntry&) const = default;
};
BOOST_DESCRIBE_STRUCT(LogEntry, (), (mVersion, mKey))

/** A part of a copy, in the order of keys. */
struct ChunkMessage
{
  ShardId mShard;
  EpochNumber mInterval;
  /** Echo of PullMessage::mAfter. */
  std::optional<RequestKey> mAfter;
  /** True iff it is a whole copy rather than the changes. */
  bool mWhole = false;
  LogVersion mTarget;
  std::vector<RecordCopy> mRecords;
  /** Keys that are no more. */
  std::vector<RequestKey> mRemoved;
  /** The last key looked at; empty on the last part. */
  std::optional<RequestKey> mNext;
  /** The changes' log, on the last part. */
  std::vector<LogEntry> mLog;

  auto operator<=>(const ChunkMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  ChunkMessage,
  (),
  (mShard, mInterval, mAfter, mWhole, mTarget, mRecords, mRemoved, mNext, mLog))

} // namespace peridotspool::ledger
