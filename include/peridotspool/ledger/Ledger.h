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
 * The request ledger as one entry sees it: the shards that it holds as primary
 * or replica, and the operations that it has under way at other primaries.
 *
 * It is a pure step: it owns no clock, thread, socket or file, and the same
 * events at the same times give the same effects. Not thread-safe.
 */
class Ledger
{
public:
  explicit Ledger(MemberId aSelf, LedgerOptions aOptions);
  ~Ledger();
  Ledger(Ledger&&) noexcept;
  Ledger& operator=(Ledger&&) noexcept;

  /** Takes one event and returns what the host is to do, in order. */
  Effects Step(const Event& aEvent, TimePoint aNow);

  /**
   * Returns what was seen and what is held. A draining entry has handed
   * everything over when mHeldShards is zero.
   */
  LedgerCounters Counters() const;

private:
  std::unique_ptr<LedgerState> mState;
};

} // namespace peridotspool::ledger
