#pragma once

namespace peridotspool::routing {

struct QuarantineSimulationOptions
{
  unsigned mSeed = 1;
  int mEntries = 10;
  /** Mean time between requests at each entry. */
  int mRequestIntervalMs = 50;
  /** Interval at which half of the upstreams crash within 100 ms; 0: never. */
  int mMassCrashIntervalMs = 0;
  /**
   * Mean time until a single upstream crashes for unrelated reasons; 0: never.
   */
  int mMeanCrashIntervalMs = 0;
  /**
   * Mean time between deadly requests, which crash their upstream; 0: never.
   */
  int mDeadlyIntervalMs = 0;
};

struct QuarantineSimulationResult
{
  int mSent = 0;
  int mCrashes = 0;
  int mRefused = 0;
  int mPermitTimeouts = 0;
  int mDeadlySent = 0;
  /**
   * Deadly requests sent more than 3 s after the third crash that they caused.
   */
  int mDeadlySentLate = 0;
};

/**
 * Simulates a minute of entries, a control leader and crashing upstreams,
 * without a network. The same options give the same result.
 */
QuarantineSimulationResult
SimulateQuarantine(const QuarantineSimulationOptions& aOptions);

} // namespace peridotspool::routing
