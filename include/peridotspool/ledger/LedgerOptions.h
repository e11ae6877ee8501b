#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/ledger/CommitRule.h"

#include <cstdint>

namespace peridotspool::ledger {

/** Limits and timeouts of the ledger. */
struct LedgerOptions
{
  /** Number of entry instances that hold each shard. */
  std::uint32_t mReplicas = 3;
  CommitRule mCommitRule = CommitRule::kAllReplicas;
  /**
   * Bytes of records over all shards of an entry above which its shards accept
   * no new requests. Usage may exceed it by what other primaries place on a
   * replica between two of its acknowledgements, and by answers larger than
   * mAnswerReserve.
   */
  std::uint64_t mMaxBytes = 256ULL << 20;
  /** Bytes reserved for the answer of each unfinished request. */
  std::uint64_t mAnswerReserve = 8ULL << 10;
  /** How long the answer of a finished request is retained for its caller. */
  Duration mRetention = std::chrono::minutes(10);
  /** How long to wait for a reply before a message is resent. */
  Duration mResendInterval = std::chrono::milliseconds(150);
  /**
   * How long to wait for the answer to an operation before the call ends as
   * kNoAnswer.
   */
  Duration mCallTimeout = std::chrono::seconds(10);
  /**
   * How long a request may remain unfinished after its deadline before the
   * primary announces it for takeover.
   */
  Duration mDeadlineGrace = std::chrono::seconds(1);
  /**
   * Interval at which an orphaned request is announced until it is taken over.
   */
  Duration mOrphanInterval = std::chrono::seconds(1);
  /**
   * Interval at which an entry reports a copy outside the replica set to the
   * primary, which can then release it.
   */
  Duration mLeftoverInterval = std::chrono::seconds(1);
  /**
   * How long after a possible loss an unknown key is treated as a request that
   * may have been lost.
   */
  Duration mLossWindow = std::chrono::minutes(30);
  /**
   * Log entries that each shard retains for filling a copy with changes only.
   */
  std::uint32_t mLogEntries = 64;
  /** Target size in bytes of the records in one message that fills a copy. */
  std::uint64_t mChunkBytes = 256ULL << 10;
  /**
   * Maximum number of operations of one shard that wait for replicas or for
   * peering.
   */
  std::uint32_t mMaxPending = 4096;
};

} // namespace peridotspool::ledger
