#pragma once

#include "ledger/StoredRecord.h"
#include "peridotspool/ledger/Operation.h"

namespace peridotspool::ledger {

/** The effect of an operation on the current record. */
struct RuleResult
{
  Verdict mVerdict = Verdict::kNoSuchRequest;
  /**
   * True iff the record changes. A repeated operation is kDone without a
   * change.
   */
  bool mChanges = false;
};

/**
 * Returns true iff the record has a standing intent, which is one that is not
 * known not to have run.
 */
bool
HasStandingIntent(const RequestRecord& aRecord);

/**
 * Evaluates an operation by the at-most-once rules. Pure: all replicas with the
 * same record reach the same result.
 *
 * @param aRecord the record, or null if the key is unknown
 */
RuleResult
EvaluateOperation(const StoredRecord* aRecord,
                  const Operation& aOperation,
                  const Origin& aOrigin);

/**
 * Applies a change that EvaluateOperation allowed. Does not handle accepts and
 * removals.
 */
void
ApplyChange(RequestRecord& aRecord, const Operation& aOperation);

} // namespace peridotspool::ledger
