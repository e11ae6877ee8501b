#pragma once

#include "peridotspool/ledger/TransferMessage.h"

#include <optional>
#include <vector>

namespace peridotspool::ledger {

/** A record received in a chunk, with the time of its receipt. */
struct StagedRecord
{
  RecordCopy mCopy;
  TimePoint mReceivedAt;
};

/**
 * A transfer in progress. Received records are staged until the transfer is
 * complete, so that the older copy remains intact if the source is lost
 * meanwhile.
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
