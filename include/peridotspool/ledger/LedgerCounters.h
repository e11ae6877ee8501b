#pragma once

#include <cstdint>

namespace peridotspool::ledger {

/** Event counts since the ledger started, and its current holdings. */
struct LedgerCounters
{
  /** Operations committed by this entry as primary. */
  std::uint64_t mCommitted = 0;
  /** Messages rejected because they belong to an earlier interval. */
  std::uint64_t mFenced = 0;
  /**
   * Completed peering rounds after which this entry served the shard as
   * primary.
   */
  std::uint64_t mPeered = 0;
  /** Peering rounds after which committed records may be missing. */
  std::uint64_t mPossibleLosses = 0;
  /** Copies filled with only the changes since a common version. */
  std::uint64_t mDeltaFills = 0;
  /** Copies filled with all records. */
  std::uint64_t mFullFills = 0;
  /** Accepts refused because the memory limit was reached. */
  std::uint64_t mFull = 0;
  /** Messages resent because no reply arrived in time. */
  std::uint64_t mResent = 0;
  /**
   * Shards of which this entry currently holds a copy, including copies outside
   * the replica set that have not been released yet.
   */
  std::uint64_t mHeldShards = 0;
  /** Shards that this entry currently serves as primary. */
  std::uint64_t mServedShards = 0;
  std::uint64_t mHeldRecords = 0;
  /**
   * Bytes of records currently held, including the space reserved for the
   * answers of unfinished requests.
   */
  std::uint64_t mHeldBytes = 0;

  auto operator<=>(const LedgerCounters&) const = default;
};

} // namespace peridotspool::ledger
