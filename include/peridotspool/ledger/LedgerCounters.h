#pragma once

#include <cstdint>

namespace peridotspool::ledger {

/** What the ledger has seen since it started, and what it holds now. */
struct LedgerCounters
{
  /** Operations committed by this entry as primary. */
  std::uint64_t mCommitted = 0;
  /** Messages refused because they came from an earlier interval. */
  std::uint64_t mFenced = 0;
  /** Shards that this entry peered and then served as primary. */
  std::uint64_t mPeered = 0;
  /** Peerings after which committed records may be missing. */
  std::uint64_t mPossibleLosses = 0;
  /** Copies filled by what changed since a common version. */
  std::uint64_t mDeltaFills = 0;
  /** Copies filled as a whole. */
  std::uint64_t mFullFills = 0;
  /** Accepts refused because the memory bound was reached. */
  std::uint64_t mFull = 0;
  /** Messages sent a second time because no answer came. */
  std::uint64_t mResent = 0;
  /** Shards of which this entry holds a copy now, in the set or left over. */
  std::uint64_t mHeldShards = 0;
  /** Shards that this entry serves as primary now. */
  std::uint64_t mServedShards = 0;
  std::uint64_t mHeldRecords = 0;
  /** Bytes of records held now, with room set aside for answers to come. */
  std::uint64_t mHeldBytes = 0;

  auto operator<=>(const LedgerCounters&) const = default;
};

} // namespace peridotspool::ledger
