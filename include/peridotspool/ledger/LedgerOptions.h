#pragma once

#include "peridotspool/base/Time.h"

#include <cstdint>

namespace peridotspool::ledger {

/** Bounds and times of the ledger. */
struct LedgerOptions
{
  /** How many entry instances hold each shard. */
  std::uint32_t mReplicas = 3;
  /** Most bytes of records that one entry holds over all its shards. */
  std::uint64_t mMaxBytes = 256ULL << 20;
  /** How long a finished request's answer is kept for its caller. */
  Duration mRetention = std::chrono::minutes(10);
  /** After this long without an answer a message is sent again. */
  Duration mResendAfter = std::chrono::milliseconds(150);
  /** An operation without an answer for this long ends as kNoAnswer. */
  Duration mGiveUpAfter = std::chrono::seconds(10);
};

} // namespace peridotspool::ledger
