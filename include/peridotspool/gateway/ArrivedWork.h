#pragma once

#include "peridotspool/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace peridotspool::gateway {

/**
 * Measures what part of an engine's time the prefills of each turn have taken
 * lately. While a prompt waits, more urgent ones arrive and pass it.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class ArrivedWork
{
public:
  /** @param aTurn 0 is admitted first */
  void Add(std::uint32_t aTurn, Duration aPrefillTime, TimePoint aNow);
  /** Returns the part of the time, 0 to 1, that earlier turns take. */
  double FractionBefore(std::uint32_t aTurn, TimePoint aNow) const;

  std::size_t TurnCount() const { return mSeconds.size(); }

private:
  /** Decayed seconds of prefill by turn, as of mDecayedAt. */
  std::map<std::uint32_t, double> mSeconds;
  TimePoint mDecayedAt;
};

} // namespace peridotspool::gateway
