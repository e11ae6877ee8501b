#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/control/LogEntry.h"
#include "peridotspool/control/Snapshot.h"

#include <boost/describe/class.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridotspool::control {

/**
 * A candidate's request for a vote, or for a pre-vote (whether it would get the
 * vote).
 */
struct VoteRequest
{
  Term mTerm;
  bool mPreVote = false;
  LogIndex mLastIndex;
  Term mLastTerm;
  /**
   * All voters have restarted and received nothing from a leader since; see
   * VoteReply.
   */
  bool mAllRestarted = false;

  auto operator<=>(const VoteRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(VoteRequest,
                      (),
                      (mTerm, mPreVote, mLastIndex, mLastTerm, mAllRestarted))

struct VoteReply
{
  /** The voter's term; for a granted pre-vote the requested term. */
  Term mTerm;
  bool mPreVote = false;
  bool mGranted = false;
  /**
   * For a pre-vote: the voter has neither led nor heard from a leader since its
   * process started, is in the candidate's term, and would vote for it.
   */
  bool mRestarted = false;

  auto operator<=>(const VoteReply&) const = default;
};
BOOST_DESCRIBE_STRUCT(VoteReply, (), (mTerm, mPreVote, mGranted, mRestarted))

/** Entries from the leader; a heartbeat when there are none. */
struct AppendRequest
{
  Term mTerm;
  RoundNumber mRound;
  LogIndex mPreviousIndex;
  Term mPreviousTerm;
  std::vector<LogEntry> mEntries;
  LogIndex mCommit;

  auto operator<=>(const AppendRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  AppendRequest,
  (),
  (mTerm, mRound, mPreviousIndex, mPreviousTerm, mEntries, mCommit))

/**
 * The reply to AppendRequest and InstallSnapshot, sent after the disk has
 * synced.
 */
struct AppendReply
{
  Term mTerm;
  RoundNumber mRound;
  bool mAccepted = false;
  /**
   * When accepted: the last index that is synced and matches the leader's log.
   * Otherwise: the index from which the leader should retry.
   */
  LogIndex mIndex;

  auto operator<=>(const AppendReply&) const = default;
};
BOOST_DESCRIBE_STRUCT(AppendReply, (), (mTerm, mRound, mAccepted, mIndex))

/** Sent to a follower that lacks entries which the leader no longer retains. */
struct InstallSnapshot
{
  Term mTerm;
  RoundNumber mRound;
  Snapshot mSnapshot;

  auto operator<=>(const InstallSnapshot&) const = default;
};
BOOST_DESCRIBE_STRUCT(InstallSnapshot, (), (mTerm, mRound, mSnapshot))

/** A member from which a control replica has received nothing recently. */
struct SilentMember
{
  MemberId mMember;
  Duration mSilentFor{ 0 };

  auto operator<=>(const SilentMember&) const = default;
};
BOOST_DESCRIBE_STRUCT(SilentMember, (), (mMember, mSilentFor))

/**
 * A follower's report to the leader of the members it receives nothing from.
 */
struct SilenceReport
{
  Term mTerm;
  /** The epoch of the member list that the report refers to. */
  EpochNumber mEpoch;
  std::vector<SilentMember> mSilent;

  auto operator<=>(const SilenceReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(SilenceReport, (), (mTerm, mEpoch, mSilent))

/** The request of a replica with an empty folder for an identity. */
struct JoinRequest
{
  ReplicaName mName;
  FailureDomain mDomain;
  Address mAddress;
  JoinNonce mNonce;
  /** The replica has no disk: its state is lost when its process ends. */
  bool mVolatile = false;

  auto operator<=>(const JoinRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(JoinRequest,
                      (),
                      (mName, mDomain, mAddress, mNonce, mVolatile))

struct JoinReply
{
  JoinNonce mNonce;
  /** Set once the log has committed the identity. */
  std::optional<ReplicaId> mReplica;
  /** The leader's address, when this replica doesn't lead. */
  std::optional<Address> mLeader;
  /** A human-readable reason for the refusal. */
  std::string mReason;

  auto operator<=>(const JoinReply&) const = default;
};
BOOST_DESCRIBE_STRUCT(JoinReply, (), (mNonce, mReplica, mLeader, mReason))

/**
 * The committed replica set no longer contains the identity that the recipient
 * uses. Identities are never reused, so this is final.
 */
struct RemovedNotice
{
  ReplicaId mRemoved;

  auto operator<=>(const RemovedNotice&) const = default;
};
BOOST_DESCRIBE_STRUCT(RemovedNotice, (), (mRemoved))

using ReplicaMessage = std::variant<VoteRequest,
                                    VoteReply,
                                    AppendRequest,
                                    AppendReply,
                                    InstallSnapshot,
                                    SilenceReport,
                                    JoinRequest,
                                    JoinReply,
                                    RemovedNotice>;

/** The envelope of every message between control replicas. */
struct ReplicaEnvelope
{
  /** Zero in messages from or to a replica without an identity. */
  SystemId mSystem;
  ReplicaId mFrom;
  ReplicaId mTo;
  /** The sender's address, because a new learner knows no addresses yet. */
  Address mReplyTo;
  ReplicaMessage mMessage;

  auto operator<=>(const ReplicaEnvelope&) const = default;
};
BOOST_DESCRIBE_STRUCT(ReplicaEnvelope,
                      (),
                      (mSystem, mFrom, mTo, mReplyTo, mMessage))

} // namespace peridotspool::control
