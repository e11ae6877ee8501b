#pragma once

#include "peridotspool/ledger/TransferMessage.h"

#include <optional>
#include <vector>

namespace peridotspool::ledger {

/** A record that came in a chunk, and when. */
struct StagedRecord
{
  RecordCopy mCopy;
  TimePoint mReceivedAt;
};

/**
 * A copy being filled. What came is set aside until all of it is there, so
 * that the older copy stays whole should the source be lost meanwhile.
 */
struct ShardFill
{
  MemberId mSource;
  /** Empty until the first chunk. */
  std::optional<LogVersion> mTarget;
  std::vector<StagedRecord> mRecords;
  std::vector<RequestKey> mRemoved;
  std::optional<RequestKey> mAfter;
  TimePoint mNextResend;
};

} // namespace peridotspool::ledger
