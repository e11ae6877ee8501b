#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/ledger/Operation.h"
#include "peridotspool/ledger/Origin.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace peridotspool::ledger {

/** An operation in a shard's log that not all replicas have acknowledged. */
struct PendingOperation
{
  SequenceNumber mSequence;
  RequestKey mKey;
  /** The operation that replicas apply; a read if nothing changes. */
  Operation mOperation;
  Origin mOrigin;
  OperationAnswer mAnswer;
  TimePoint mDeadline;
};

/** An operation that arrived before the primary began to serve. */
struct WaitingOperation
{
  Origin mOrigin;
  RequestKey mKey;
  Operation mOperation;
};

/** The last log position that one replica has acknowledged. */
struct ReplicaProgress
{
  SequenceNumber mAcked;
  TimePoint mRetryAt;
};

/** A primary's operations in progress for one shard. */
struct PrimaryQueue
{
  std::deque<PendingOperation> mPending;
  std::map<MemberId, ReplicaProgress> mReplicas;
  SequenceNumber mCommitted;
  /**
   * Origins of unanswered operations. Duplicates of these operations are
   * dropped.
   */
  std::set<Origin> mInFlight;
  std::vector<WaitingOperation> mWaiting;
};

} // namespace peridotspool::ledger
