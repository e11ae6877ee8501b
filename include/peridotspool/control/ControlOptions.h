#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"
#include "peridotspool/control/ConsensusOptions.h"
#include "peridotspool/control/ControlIds.h"
#include "peridotspool/control/StateMachineOptions.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace peridotspool::control {

/**
 * Validates a whole settings tree. Returns the problem with its location, or
 * empty when the tree is valid. Must be a pure function.
 */
using SettingsChecker =
  std::function<std::optional<std::string>(const std::string& aText)>;

/** Timeouts and limits of a control replica. */
struct ControlOptions
{
  /** This replica's own attributes; used when it joins with an empty folder. */
  ReplicaName mName;
  FailureDomain mDomain;
  Address mAddress;
  /**
   * Set when this replica has no disk; it then only receives the log and never
   * votes.
   */
  bool mVolatile = false;
  /** A random number that differs for each start of the process. */
  JoinNonce mNonce;
  /**
   * Other control replicas, from which a replica with an empty folder requests
   * its identity.
   */
  std::vector<Address> mSeeds;

  ConsensusOptions mConsensus;
  StateMachineOptions mStateMachine;
  SettingsChecker mChecker;

  /** The number of voters that the leader aims for. */
  std::size_t mVoters = 3;
  /**
   * The maximum number of further replicas that only receive the log and can
   * replace a voter.
   */
  std::size_t mMaxLearners = 2;
  /**
   * A voter that has been silent for this long is replaced by a learner that
   * has caught up. Unset: a voter is replaced only by the next identity of the
   * same replica.
   */
  std::optional<Duration> mReplaceSilentAfter;
  /**
   * The duration of an entry's lease, counted from when the entry sent the
   * heartbeat that was answered.
   */
  Duration mEntryLease = std::chrono::milliseconds(1000);
  /**
   * A member from which a majority has received nothing for this long is
   * removed.
   */
  Duration mMemberTimeout = std::chrono::milliseconds(1500);
  /**
   * How long an entry without a confirmed revision accepts new work. Equals
   * membership::ControlSessionOptions::mConfirmationGrace.
   */
  Duration mConfirmationGrace = std::chrono::seconds(4);
  /** Membership changes are batched into one epoch for this long. */
  Duration mEpochDelay = std::chrono::milliseconds(100);
  /** The minimum interval between two epochs, unless an entry is leaving. */
  Duration mEpochSpacing = std::chrono::milliseconds(500);
  /**
   * The initial backoff before a process whose name was recently removed may
   * rejoin; doubles with each removal up to mMaxRejoinBackoff.
   */
  Duration mRejoinBackoff = std::chrono::seconds(1);
  Duration mMaxRejoinBackoff = std::chrono::seconds(30);
  /**
   * An entry from which nothing was received for this long is not listed to
   * callers.
   */
  Duration mEntryListingTimeout = std::chrono::milliseconds(1200);
  /**
   * With this many entry processes or more, they send their messages through
   * the replicas of their failure domain. Sent by each entry to each replica,
   * the messages grow with the product of both.
   */
  std::size_t mRelayedSessions = 128;
  /** A push that has had no effect is sent again after this time. */
  Duration mPushResend = std::chrono::milliseconds(600);
  /** The number of entries after which a snapshot is made. */
  std::size_t mSnapshotEvery = 1000;
  /**
   * The encoded bytes of entries after which a snapshot is made. Bounds the
   * journal and the log in memory, whose entries may hold whole settings.
   */
  std::size_t mSnapshotEveryBytes = 8ULL << 20;
  std::size_t mMaxSettingsBytes = 4ULL << 20;
  /**
   * Bytes of writes and entries that may be under way; further settings are
   * refused until some have completed.
   */
  std::size_t mMaxPendingBytes = 16ULL << 20;
  /** The maximum number of pending operator requests; more are refused. */
  std::size_t mMaxPending = 1000;
  /**
   * The maximum number of entry processes tracked at once; further ones get no
   * response.
   */
  std::size_t mMaxSessions = 4000;
};

} // namespace peridotspool::control
