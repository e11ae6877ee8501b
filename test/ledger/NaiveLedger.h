#pragma once

#include "peridotspool/ledger/Operation.h"

#include <map>

namespace peridotspool::ledger {

/**
 * A single map without faults, as the reference for the replicated ledger.
 * Written from the descriptions of the operations, independently of the
 * ledger's code.
 */
class NaiveLedger
{
public:
  /** Applies the operation and returns the expected verdict. */
  Verdict Do(const RequestKey& aKey, const Operation& aOperation);
  const RequestRecord* Find(const RequestKey& aKey) const;

private:
  Verdict On(const RequestKey& aKey, const AcceptOperation& aAccept);
  Verdict On(const RequestKey& aKey, const IntendOperation& aIntend);
  Verdict On(const RequestKey& aKey, const VoidIntentOperation& aVoid);
  Verdict On(const RequestKey& aKey, const FinishOperation& aFinish);
  Verdict On(const RequestKey& aKey, const TakeOverOperation& aTakeOver);
  Verdict On(const RequestKey& aKey, const CancelOperation& aCancel);
  Verdict On(const RequestKey& aKey, const ForgetOperation& aForget);
  Verdict On(const RequestKey& aKey, const ReadOperation& aRead);

  struct Entry
  {
    RequestRecord mRecord;
    bool mForgotten = false;
    bool Stands() const { return mRecord.mIntent && !mRecord.mIntentVoid; }
  };

  /** Returns the entry if it is unfinished and the turn is its present turn. */
  Entry* Running(const RequestKey& aKey,
                 AttemptNumber aTurn,
                 Verdict& aVerdict);

  std::map<RequestKey, Entry> mEntries;
};

} // namespace peridotspool::ledger
