#include "ledger/RecordStore.h"

#include "ledger/RecordRules.h"

namespace peridotspool::ledger {

namespace {

/**
 * Size of a tree node's pointers and colour plus one word of allocator
 * overhead.
 */
constexpr std::uint64_t kNodeBytes = 48;
/**
 * Memory used by a record in addition to its texts: the fields and two tree
 * nodes.
 */
constexpr std::uint64_t kRecordOverhead =
  sizeof(StoredRecord) + sizeof(RequestKey) + kNodeBytes + kNodeBytes;

void
DropTexts(RequestRecord& aRecord)
{
  aRecord.mTerms.mBody = std::string();
  aRecord.mOutcome->mBody = std::string();
}

} // namespace

std::uint64_t
BytesOf(const RequestRecord& aRecord, const LedgerOptions& aOptions)
{
  const std::uint64_t keys =
    2 * (aRecord.mKey.mKey.size() + aRecord.mKey.mCustomer.Value().size());
  const std::uint64_t answer =
    aRecord.mOutcome ? aRecord.mOutcome->mBody.size() : aOptions.mAnswerReserve;
  return kRecordOverhead + keys + aRecord.mTerms.mBody.size() + answer;
}

RecordCopy
CopyOf(const StoredRecord& aStored, TimePoint aNow)
{
  return { .mRecord = aStored.mRecord,
           .mAccepted = aStored.mAccepted,
           .mRemaining = aStored.mDeadline - aNow,
           .mRetireIn = aStored.mAlarm - aNow,
           .mForgotten = aStored.mForgotten,
           .mRefusedAccepts = aStored.mRefusedAccepts };
}

const StoredRecord*
RecordStore::Find(const RequestKey& aKey) const
{
  const auto found = mRecords.find(aKey);
  return found == mRecords.end() ? nullptr : &found->second;
}

void
RecordStore::Apply(const RequestKey& aKey,
                   const Operation& aOperation,
                   const Origin& aOrigin,
                   const LedgerOptions& aOptions,
                   TimePoint aNow)
{
  if (const auto* accept = std::get_if<AcceptOperation>(&aOperation)) {
    Accept(aKey, *accept, aOrigin, aOptions, aNow);
    return;
  }
  const auto found = mRecords.find(aKey);
  if (found == mRecords.end()) {
    return;
  }
  StoredRecord& stored = found->second;
  const auto* forget = std::get_if<ForgetOperation>(&aOperation);
  if (forget != nullptr && forget->mExpired) {
    Remove(aKey);
    return;
  }
  const bool wasFinished = stored.mRecord.mOutcome.has_value();
  Unlink(stored);
  if (forget != nullptr) {
    DropTexts(stored.mRecord);
    stored.mForgotten = true;
  }
  ApplyChange(stored.mRecord, aOperation);
  if (!wasFinished && stored.mRecord.mOutcome) {
    stored.mAlarm = aNow + aOptions.mRetention;
  } else if (std::holds_alternative<TakeOverOperation>(aOperation)) {
    // The announcements of the previous executor are no longer needed.
    stored.mAlarm = stored.mDeadline + aOptions.mDeadlineGrace;
  }
  Link(stored, aOptions);
}

void
RecordStore::Accept(const RequestKey& aKey,
                    const AcceptOperation& aAccept,
                    const Origin& aOrigin,
                    const LedgerOptions& aOptions,
                    TimePoint aNow)
{
  StoredRecord stored;
  stored.mRecord.mKey = aKey;
  stored.mRecord.mTerms = aAccept.mTerms;
  stored.mRecord.mExecutor = aAccept.mExecutor;
  stored.mRecord.mExecutorTurn = AttemptNumber(1);
  const auto before = mRecords.find(aKey);
  if (before != mRecords.end()) {
    RestartRefused(before->second, stored);
  }
  stored.mAccepted = aOrigin;
  stored.mDeadline = aNow + aAccept.mRemaining;
  stored.mAlarm = stored.mDeadline + aOptions.mDeadlineGrace;
  Insert(std::move(stored), aOptions);
}

void
RecordStore::RestartRefused(const StoredRecord& aRefused, StoredRecord& aFresh)
{
  Unlink(aRefused);
  // Uses the next turn, so that late operations of the refused request's
  // executor are rejected.
  aFresh.mRecord.mExecutorTurn = aRefused.mRecord.mExecutorTurn.Next();
  aFresh.mRefusedAccepts = aRefused.mRefusedAccepts;
  aFresh.mRefusedAccepts.push_back(aRefused.mAccepted);
}

void
RecordStore::Put(const RecordCopy& aCopy,
                 const LedgerOptions& aOptions,
                 TimePoint aNow)
{
  Remove(aCopy.mRecord.mKey);
  StoredRecord stored;
  stored.mRecord = aCopy.mRecord;
  stored.mAccepted = aCopy.mAccepted;
  stored.mDeadline = aNow + aCopy.mRemaining;
  stored.mForgotten = aCopy.mForgotten;
  stored.mRefusedAccepts = aCopy.mRefusedAccepts;
  stored.mAlarm = stored.mRecord.mOutcome
                    ? aNow + aCopy.mRetireIn
                    : stored.mDeadline + aOptions.mDeadlineGrace;
  Insert(std::move(stored), aOptions);
}

void
RecordStore::Remove(const RequestKey& aKey)
{
  const auto found = mRecords.find(aKey);
  if (found != mRecords.end()) {
    Unlink(found->second);
    mRecords.erase(found);
  }
}

void
RecordStore::MarkMayHaveRun(const RequestKey& aKey)
{
  const auto found = mRecords.find(aKey);
  if (found != mRecords.end()) {
    RequestRecord& record = found->second.mRecord;
    record.mIntent = DispatchIntent{ .mAttempt = kLostAttempt,
                                     .mUpstream = UpstreamName(),
                                     .mIncarnation = Incarnation() };
    record.mIntentVoid = false;
  }
}

void
RecordStore::MarkAnnounced(const RequestKey& aKey)
{
  const auto found = mRecords.find(aKey);
  if (found != mRecords.end()) {
    found->second.mAnnouncedTurn = found->second.mRecord.mExecutorTurn;
  }
}

void
RecordStore::SetAlarm(const RequestKey& aKey, TimePoint aAlarm)
{
  const auto found = mRecords.find(aKey);
  if (found == mRecords.end() || found->second.mRecord.mOutcome) {
    return;
  }
  StoredRecord& stored = found->second;
  mUnfinished.erase({ stored.mAlarm, &stored.mRecord.mKey });
  stored.mAlarm = aAlarm;
  mUnfinished.insert({ stored.mAlarm, &stored.mRecord.mKey });
}

void
RecordStore::Insert(StoredRecord aStored, const LedgerOptions& aOptions)
{
  RequestKey key = aStored.mRecord.mKey;
  const auto [place, isNew] =
    mRecords.insert_or_assign(std::move(key), std::move(aStored));
  Link(place->second, aOptions);
}

void
RecordStore::Unlink(const StoredRecord& aStored)
{
  mBytes -= aStored.mBytes;
  Alarms& alarms = aStored.mRecord.mOutcome ? mFinished : mUnfinished;
  alarms.erase({ aStored.mAlarm, &aStored.mRecord.mKey });
}

void
RecordStore::Link(StoredRecord& aStored, const LedgerOptions& aOptions)
{
  aStored.mBytes = BytesOf(aStored.mRecord, aOptions);
  mBytes += aStored.mBytes;
  Alarms& alarms = aStored.mRecord.mOutcome ? mFinished : mUnfinished;
  alarms.insert({ aStored.mAlarm, &aStored.mRecord.mKey });
}

} // namespace peridotspool::ledger
