#pragma once

namespace peridotspool::routing {

struct QuarantinePlayOptions
{
  unsigned mSeed = 1;
  int mEntries = 10;
  /** Each entry is sent a request this often. */
  int mEachMs = 50;
  /** Half of the upstreams end within 100 ms, this often; 0: never. */
  int mMassEachMs = 0;
  /** Mean time until one upstream ends by itself; 0: never. */
  int mEndsEachMs = 0;
  /** A deadly request comes to some entry this often; 0: never. */
  int mDeadlyEachMs = 0;
};

struct QuarantinePlayOutcome
{
  int mSent = 0;
  int mEnds = 0;
  int mRefused = 0;
  int mNoTurn = 0;
  int mDeadlySent = 0;
  /** Sends of the deadly one from 3 s after its third end on. */
  int mDeadlyLate = 0;
};

/**
 * Plays entries, a control leader and upstreams that end, for a minute, without
 * a network; the same options give the same play.
 */
QuarantinePlayOutcome
PlayQuarantine(const QuarantinePlayOptions& aOptions);

} // namespace peridotspool::routing
