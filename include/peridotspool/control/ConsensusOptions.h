#pragma once

#include "peridotspool/base/Time.h"

#include <cstddef>
#include <cstdint>

namespace peridotspool::control {

/** Times and bounds of the replicated log. */
struct ConsensusOptions
{
  Duration mHeartbeatPeriod = std::chrono::milliseconds(100);
  /**
   * After hearing a leader, no replica helps to elect another one for this
   * long; an election starts between once and twice this long after.
   */
  Duration mElectionTimeout = std::chrono::milliseconds(500);
  /**
   * A replica that has just started asks the others about twice in this time
   * whether all of them have restarted: then nobody leads, and one of them is
   * elected at once.
   */
  Duration mStartupElectionPeriod = std::chrono::milliseconds(80);
  /** So long after its start. */
  Duration mStartupElectionWindow = std::chrono::seconds(5);
  /** Clocks of two replicas may run apart by this share, at most. */
  double mClockRateBound = 0.01;
  std::size_t mMaxEntriesPerAppend = 256;
  /** After this long a snapshot without an answer is sent again. */
  Duration mSnapshotResend = std::chrono::seconds(2);
  /** Entries kept behind a snapshot for followers that lag a little. */
  std::size_t mEntriesRetainedBehindSnapshot = 256;
  /** Differs for each replica, so that elections seldom collide. */
  std::uint64_t mRandomSeed = 1;

  /**
   * How long an answer of a majority keeps the leader in charge, from when it
   * asked. It ends before any follower, however fast its clock, helps another.
   */
  Duration LeaseDuration() const;
};

} // namespace peridotspool::control
