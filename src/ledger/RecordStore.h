#pragma once

#include "ledger/StoredRecord.h"
#include "peridotspool/ledger/LedgerOptions.h"
#include "peridotspool/ledger/Operation.h"
#include "peridotspool/ledger/TransferMessage.h"

#include <map>
#include <set>
#include <utility>

namespace peridotspool::ledger {

/** Orders alarms by time and then by key, so that replays are deterministic. */
struct AlarmOrder
{
  using Alarm = std::pair<TimePoint, const RequestKey*>;
  bool operator()(const Alarm& aLeft, const Alarm& aRight) const
  {
    return aLeft.first != aRight.first ? aLeft.first < aRight.first
                                       : *aLeft.second < *aRight.second;
  }
};

/**
 * One replica's records of one shard. Unfinished records are ordered by when
 * the primary must check them, finished records by when they may be deleted.
 */
class RecordStore
{
public:
  using Records = std::map<RequestKey, StoredRecord>;
  using Alarms = std::set<AlarmOrder::Alarm, AlarmOrder>;

  /** Returns the record, or null. */
  const StoredRecord* Find(const RequestKey& aKey) const;
  const Records& All() const { return mRecords; }
  const Alarms& Unfinished() const { return mUnfinished; }
  const Alarms& Finished() const { return mFinished; }
  std::uint64_t Bytes() const { return mBytes; }

  /** Applies an operation that was evaluated to change the record. */
  void Apply(const RequestKey& aKey,
             const Operation& aOperation,
             const Origin& aOrigin,
             const LedgerOptions& aOptions,
             TimePoint aNow);
  /**
   * Stores a record received from another replica, replacing any existing one.
   */
  void Put(const RecordCopy& aCopy,
           const LedgerOptions& aOptions,
           TimePoint aNow);
  void Remove(const RequestKey& aKey);
  /** Gives the record an intent of kLostAttempt. */
  void MarkMayHaveRun(const RequestKey& aKey);
  /** Records that the present executor was announced as gone or draining. */
  void MarkAnnounced(const RequestKey& aKey);
  /** Sets the time at which to check an unfinished record again. */
  void SetAlarm(const RequestKey& aKey, TimePoint aAlarm);

private:
  void Accept(const RequestKey& aKey,
              const AcceptOperation& aAccept,
              const Origin& aOrigin,
              const LedgerOptions& aOptions,
              TimePoint aNow);
  /**
   * Replaces a refused record by a new one, which gets the next executor turn
   * and the list of refused accepts.
   */
  void RestartRefused(const StoredRecord& aRefused, StoredRecord& aFresh);
  void Insert(StoredRecord aStored, const LedgerOptions& aOptions);
  void Unlink(const StoredRecord& aStored);
  void Link(StoredRecord& aStored, const LedgerOptions& aOptions);

  Records mRecords;
  Alarms mUnfinished;
  Alarms mFinished;
  std::uint64_t mBytes = 0;
};

/**
 * Returns the bytes that a record uses, including the space reserved for its
 * answer while it is unfinished.
 */
std::uint64_t
BytesOf(const RequestRecord& aRecord, const LedgerOptions& aOptions);

/** Returns a record in the form sent to another replica. */
RecordCopy
CopyOf(const StoredRecord& aStored, TimePoint aNow);

} // namespace peridotspool::ledger
