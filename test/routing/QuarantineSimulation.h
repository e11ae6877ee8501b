#pragma once

namespace peridotspool::routing {

struct QuarantineSimulationOptions
{
  unsigned mSeed = 1;
  int mEntries = 10;
  /** Each entry is sent a request this often. */
  int mRequestIntervalMs = 50;
  /** Half of the upstreams end within 100 ms, this often; 0: never. */
  int mMassCrashIntervalMs = 0;
  /** Mean time until one upstream ends by itself; 0: never. */
  int mMeanCrashIntervalMs = 0;
  /** A deadly request comes to some entry this often; 0: never. */
  int mDeadlyIntervalMs = 0;
};

struct QuarantineSimulationResult
{
  int mSent = 0;
  int mCrashes = 0;
  int mRefused = 0;
  int mPermitTimeouts = 0;
  int mDeadlySent = 0;
  /** Sends of the deadly one from 3 s after its third end on. */
  int mDeadlySentLate = 0;
};

/**
 * Plays entries, a control leader and upstreams that end, for a minute, without
 * a network; the same options give the same play.
 */
QuarantineSimulationResult
SimulateQuarantine(const QuarantineSimulationOptions& aOptions);

} // namespace peridotspool::routing
