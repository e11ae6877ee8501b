#pragma once

#include "peridotspool/base/Time.h"

#include <cstddef>
#include <cstdint>

namespace peridotspool::control {

/** Timeouts and limits of the replicated log. */
struct ConsensusOptions
{
  Duration mHeartbeatPeriod = std::chrono::milliseconds(100);
  /**
   * A replica grants no vote for this long after a message from a leader. An
   * election starts between one and two times this long after that message.
   */
  Duration mElectionTimeout = std::chrono::milliseconds(500);
  /**
   * A replica that has just started queries the others about twice in this
   * period whether all of them have restarted. In that case no leader exists,
   * and one is elected at once.
   */
  Duration mStartupElectionPeriod = std::chrono::milliseconds(80);
  /** How long after its start a replica sends such queries. */
  Duration mStartupElectionWindow = std::chrono::seconds(5);
  /**
   * The maximum relative rate difference between the clocks of two replicas.
   */
  double mClockRateBound = 0.01;
  std::size_t mMaxEntriesPerAppend = 256;
  /** Encoded bytes of the entries in one message; a single one may be larger.
   */
  std::size_t mMaxBytesPerAppend = 1U << 20;
  /** An unacknowledged snapshot is sent again after this time. */
  Duration mSnapshotResend = std::chrono::seconds(2);
  /** Entries retained behind a snapshot, for followers that lag slightly. */
  std::size_t mEntriesRetainedBehindSnapshot = 256;
  /** The same in bytes: a single entry may be as large as the settings. */
  std::size_t mBytesRetainedBehindSnapshot = 2U << 20;
  /**
   * Seed of the election timers. Differs between replicas, so that simultaneous
   * elections are rare.
   */
  std::uint64_t mRandomSeed = 1;

  /**
   * How long a majority's acknowledgement keeps the leader's lease valid,
   * counted from when the request was sent. The lease ends before any follower,
   * however fast its clock, votes for another replica.
   */
  Duration LeaseDuration() const;
};

} // namespace peridotspool::control
