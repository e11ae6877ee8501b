#pragma once

#include "peridotspool/ledger/Operation.h"
#include "peridotspool/ledger/PeeringMessage.h"
#include "peridotspool/ledger/TransferMessage.h"
#include "peridotspool/membership/EpochMap.h"

#include <boost/describe/class.hpp>
#include <variant>

namespace peridotspool::ledger {

/** Requests an operation from a shard's primary. */
struct ProposeMessage
{
  EpochNumber mEpoch;
  CallId mCall;
  RequestKey mKey;
  Operation mOperation;

  auto operator<=>(const ProposeMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(ProposeMessage, (), (mEpoch, mCall, mKey, mOperation))

/** The primary's answer to a ProposeMessage. */
struct AnswerMessage
{
  CallId mCall;
  RequestKey mKey;
  OperationAnswer mAnswer;

  auto operator<=>(const AnswerMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(AnswerMessage, (), (mCall, mKey, mAnswer))

/**
 * Sends an operation, with its position in the shard's log, from the primary to
 * a replica.
 */
struct ReplicateMessage
{
  ShardId mShard;
  EpochNumber mInterval;
  SequenceNumber mSequence;
  RequestKey mKey;
  Operation mOperation;
  Origin mOrigin;

  auto operator<=>(const ReplicateMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(ReplicateMessage,
                      (),
                      (mShard, mInterval, mSequence, mKey, mOperation, mOrigin))

/** Confirms that a replica holds all operations up to and including mLast. */
struct AckMessage
{
  ShardId mShard;
  EpochNumber mInterval;
  SequenceNumber mLast;
  /** Bytes of records that the replica holds over all its shards. */
  std::uint64_t mHeldBytes = 0;

  auto operator<=>(const AckMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(AckMessage, (), (mShard, mInterval, mLast, mHeldBytes))

using Message = std::variant<ProposeMessage,
                             AnswerMessage,
                             ReplicateMessage,
                             AckMessage,
                             QueryMessage,
                             ReportMessage,
                             ActivateMessage,
                             ActivatedMessage,
                             RefusedMessage,
                             ReleaseMessage,
                             PullMessage,
                             ChunkMessage>;

} // namespace peridotspool::ledger
