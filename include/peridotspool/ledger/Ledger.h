#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/ledger/Effect.h"
#include "peridotspool/ledger/Event.h"
#include "peridotspool/ledger/LedgerCounters.h"
#include "peridotspool/ledger/LedgerOptions.h"

#include <memory>

namespace peridotspool::ledger {

class LedgerState;

/**
 * One entry's part of the request ledger: the shards that it holds as primary
 * or replica, and its own operations that are pending at other primaries.
 *
 * A deterministic state machine: it owns no clock, thread, socket or file, and
 * the same events at the same times produce the same effects. Not thread-safe.
 */
class Ledger
{
public:
  explicit Ledger(MemberId aSelf, LedgerOptions aOptions);
  ~Ledger();
  Ledger(Ledger&&) noexcept;
  Ledger& operator=(Ledger&&) noexcept;

  /**
   * Processes one event and returns the effects that the host must carry out,
   * in order.
   */
  Effects Step(const Event& aEvent, TimePoint aNow);

  /**
   * Returns the counters. A draining entry has completed its handover when
   * mHeldShards is zero.
   */
  LedgerCounters Counters() const;

private:
  std::unique_ptr<LedgerState> mState;
};

} // namespace peridotspool::ledger
