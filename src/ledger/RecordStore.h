#pragma once

#include "ledger/StoredRecord.h"
#include "peridotspool/ledger/LedgerOptions.h"
#include "peridotspool/ledger/Operation.h"
#include "peridotspool/ledger/TransferMessage.h"

#include <map>
#include <set>
#include <utility>

namespace peridotspool::ledger {

/** Orders alarms by time, then by key, so that replays repeat exactly. */
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
 * One replica's records of one shard. Unfinished ones are ordered by when the
 * primary must look at them, finished ones by when they may be forgotten.
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

  /** Carries out an operation that was judged to change the record. */
  void Apply(const RequestKey& aKey,
             const Operation& aOperation,
             const Origin& aOrigin,
             const LedgerOptions& aOptions,
             TimePoint aNow);
  /** Puts in a record from another replica, instead of what was there. */
  void Put(const RecordCopy& aCopy,
           const LedgerOptions& aOptions,
           TimePoint aNow);
  void Remove(const RequestKey& aKey);
  /** Gives the record an intent of kLostAttempt. */
  void MarkMayHaveRun(const RequestKey& aKey);
  /** Notes that the present executor was announced as gone or leaving. */
  void MarkAnnounced(const RequestKey& aKey);
  /** Says when to look at an unfinished record again. */
  void SetAlarm(const RequestKey& aKey, TimePoint aAlarm);

private:
  void Accept(const RequestKey& aKey,
              const AcceptOperation& aAccept,
              const Origin& aOrigin,
              const LedgerOptions& aOptions,
              TimePoint aNow);
  /** Lets go of a refused record and carries on its turn and its accepts. */
  void RestartRefused(const StoredRecord& aRefused, StoredRecord& aFresh);
  void Insert(StoredRecord aStored, const LedgerOptions& aOptions);
  void Unlink(const StoredRecord& aStored);
  void Link(StoredRecord& aStored, const LedgerOptions& aOptions);

  Records mRecords;
  Alarms mUnfinished;
  Alarms mFinished;
  std::uint64_t mBytes = 0;
};

/** Returns the bytes that a record takes, with room for its answer to come. */
std::uint64_t
BytesOf(const RequestRecord& aRecord, const LedgerOptions& aOptions);

/** Returns a record as another replica needs it. */
RecordCopy
CopyOf(const StoredRecord& aStored, TimePoint aNow);

} // namespace peridotspool::ledger
