#pragma once

#include "ledger/StoredRecord.h"
#include "peridotspool/ledger/Operation.h"

namespace peridotspool::ledger {

/** What an operation does to the record as it stands. */
struct RuleResult
{
  Verdict mVerdict = Verdict::kNoSuchRequest;
  /** True iff the record changes; a repeated operation is kDone without. */
  bool mChanges = false;
};

/** Returns true iff an intent stands that is not known not to have run. */
bool
HasStandingIntent(const RequestRecord& aRecord);

/**
 * Judges an operation by the rules of at most once. Pure: all replicas with
 * the same record come to the same result.
 *
 * @param aRecord the record, or null if the key is not known
 */
RuleResult
EvaluateOperation(const StoredRecord* aRecord,
                  const Operation& aOperation,
                  const Origin& aOrigin);

/** Carries out a change that EvaluateOperation allowed, except accepts and removals. */
void
ApplyChange(RequestRecord& aRecord, const Operation& aOperation);

} // namespace peridotspool::ledger
