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
  /** What the replicas apply; a read where nothing changes. */
  Operation mOperation;
  Origin mOrigin;
  OperationAnswer mAnswer;
  TimePoint mDeadline;
};

/** An operation that came before the primary served. */
struct WaitingOperation
{
  Origin mOrigin;
  RequestKey mKey;
  Operation mOperation;
};

/** How far one replica has acknowledged the log. */
struct ReplicaProgress
{
  SequenceNumber mAcked;
  TimePoint mRetryAt;
};

/** What a primary has under way for one shard. */
struct PrimaryQueue
{
  std::deque<PendingOperation> mPending;
  std::map<MemberId, ReplicaProgress> mReplicas;
  SequenceNumber mCommitted;
  /** Origins of unanswered operations: their duplicates are dropped. */
  std::set<Origin> mInFlight;
  std::vector<WaitingOperation> mWaiting;
};

} // namespace peridotspool::ledger
