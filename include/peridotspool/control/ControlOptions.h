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
 * Checks a whole settings tree. Returns the problem with its place, or empty
 * when the tree is good. Must be a pure function.
 */
using SettingsChecker =
  std::function<std::optional<std::string>(const std::string& aText)>;

/** Times and bounds of a control replica. */
struct ControlOptions
{
  /** This replica's settings; used when it joins with an empty folder. */
  ReplicaName mName;
  FailureDomain mDomain;
  Address mAddress;
  /** This replica has no disk; it only receives the log. */
  bool mVolatile = false;
  /** Random; differs for each start of the process. */
  JoinNonce mNonce;
  /** Other control replicas, asked for an identity by an empty folder. */
  std::vector<Address> mSeeds;

  ConsensusOptions mConsensus;
  StateMachineOptions mStateMachine;
  SettingsChecker mChecker;

  /** How many voters the leader brings the replica set up to. */
  std::size_t mVoters = 3;
  /** Further replicas that only receive the log, ready to take a place. */
  std::size_t mMaxLearners = 2;
  /**
   * A voter that has been silent for this long loses its place to a learner
   * that has caught up; unset: only its own next identity takes its place.
   */
  std::optional<Duration> mReplaceSilentAfter;
  /** How long a heartbeat's answer lets an entry work, from its sending. */
  Duration mEntryLease = std::chrono::milliseconds(1000);
  /** A member not heard by a majority for this long is removed. */
  Duration mMemberTimeout = std::chrono::milliseconds(1500);
  /**
   * How long an entry without a confirmed revision takes new work; the same as
   * membership::ControlSessionOptions::mConfirmationGrace.
   */
  Duration mConfirmationGrace = std::chrono::seconds(4);
  /** Changes of members are gathered for this long into one epoch. */
  Duration mEpochDelay = std::chrono::milliseconds(100);
  /** Two epochs are at least this far apart, unless an entry is leaving. */
  Duration mEpochSpacing = std::chrono::milliseconds(500);
  /** A process whose name was lately removed waits this long, doubling. */
  Duration mRejoinBackoff = std::chrono::seconds(1);
  Duration mMaxRejoinBackoff = std::chrono::seconds(30);
  /** An entry that was not heard for this long is not named to callers. */
  Duration mEntryListingTimeout = std::chrono::milliseconds(1200);
  /** After this long without effect a push is sent again. */
  Duration mPushResend = std::chrono::milliseconds(600);
  /** A snapshot is made after this many entries. */
  std::size_t mSnapshotEvery = 1000;
  std::size_t mMaxSettingsBytes = 4ULL << 20;
  /** Operators' requests under way at once; more are refused. */
  std::size_t mMaxPending = 1000;
  /** Entry processes remembered at once; more are not answered. */
  std::size_t mMaxSessions = 4000;
};

} // namespace peridotspool::control
