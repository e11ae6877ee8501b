#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/ledger/CommitRule.h"

#include <cstdint>

namespace peridotspool::ledger {

/** Bounds and times of the ledger. */
struct LedgerOptions
{
  /** How many entry instances hold each shard. */
  std::uint32_t mReplicas = 3;
  CommitRule mCommitRule = CommitRule::kAllReplicas;
  /**
   * Bytes of records over all shards of an entry, beyond which its shards take
   * no new requests. What other primaries place on a replica between two of its
   * acknowledgements comes on top, and answers larger than mAnswerReserve.
   */
  std::uint64_t mMaxBytes = 256ULL << 20;
  /** Bytes set aside for the answer of each unfinished request. */
  std::uint64_t mAnswerReserve = 8ULL << 10;
  /** How long a finished request's answer is kept for its caller. */
  Duration mRetention = std::chrono::minutes(10);
  /** After this long without an answer a message is sent again. */
  Duration mResendInterval = std::chrono::milliseconds(150);
  /** An operation without an answer for this long ends as kNoAnswer. */
  Duration mCallTimeout = std::chrono::seconds(10);
  /** How long past its deadline a request may be unfinished. */
  Duration mDeadlineGrace = std::chrono::seconds(1);
  /** How often an orphaned request is announced until it is taken over. */
  Duration mOrphanInterval = std::chrono::seconds(1);
  /** How often a copy that is no longer needed asks to be released. */
  Duration mLeftoverInterval = std::chrono::seconds(1);
  /** How long after a loss unknown keys may name lost requests. */
  Duration mLossWindow = std::chrono::minutes(30);
  /** Changes that each shard remembers, for filling a copy by delta. */
  std::uint32_t mLogEntries = 64;
  /** Most bytes of records in one message that fills a copy. */
  std::uint64_t mChunkBytes = 256ULL << 10;
  /** Most operations of one shard that wait for replicas or for peering. */
  std::uint32_t mMaxPending = 4096;
};

} // namespace peridotspool::ledger
