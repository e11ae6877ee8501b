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

/** A replica asks for a vote, or whether it would get one (pre-vote). */
struct VoteRequest
{
  Term mTerm;
  bool mPreVote = false;
  LogIndex mLastIndex;
  Term mLastTerm;
  /** All voters have restarted and have heard no leader since; see VoteReply.
   */
  bool mAllRestarted = false;

  auto operator<=>(const VoteRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(VoteRequest,
                      (),
                      (mTerm, mPreVote, mLastIndex, mLastTerm, mAllRestarted))

struct VoteReply
{
  /** The voter's term; for a granted pre-vote the term that was asked for. */
  Term mTerm;
  bool mPreVote = false;
  bool mGranted = false;
  /**
   * Of a pre-vote: the voter has led nobody and heard no leader since its
   * process started, is in the asker's term, and would vote for it.
   */
  bool mRestarted = false;

  auto operator<=>(const VoteReply&) const = default;
};
BOOST_DESCRIBE_STRUCT(VoteReply, (), (mTerm, mPreVote, mGranted, mRestarted))

/** The leader's entries; without entries a heartbeat. */
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

/** Answers AppendRequest and InstallSnapshot, after the disk has synced. */
struct AppendReply
{
  Term mTerm;
  RoundNumber mRound;
  bool mAccepted = false;
  /** Accepted: synced up to here as the leader has it. Else: try from here. */
  LogIndex mIndex;

  auto operator<=>(const AppendReply&) const = default;
};
BOOST_DESCRIBE_STRUCT(AppendReply, (), (mTerm, mRound, mAccepted, mIndex))

/** For a follower that lacks entries which the leader no longer keeps. */
struct InstallSnapshot
{
  Term mTerm;
  RoundNumber mRound;
  Snapshot mSnapshot;

  auto operator<=>(const InstallSnapshot&) const = default;
};
BOOST_DESCRIBE_STRUCT(InstallSnapshot, (), (mTerm, mRound, mSnapshot))

/** A member that a control replica has not heard from lately. */
struct SilentMember
{
  MemberId mMember;
  Duration mSilentFor{ 0 };

  auto operator<=>(const SilentMember&) const = default;
};
BOOST_DESCRIBE_STRUCT(SilentMember, (), (mMember, mSilentFor))

/** A follower tells the leader whom it does not hear. */
struct SilenceReport
{
  Term mTerm;
  /** The member list that the report speaks of. */
  EpochNumber mEpoch;
  std::vector<SilentMember> mSilent;

  auto operator<=>(const SilenceReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(SilenceReport, (), (mTerm, mEpoch, mSilent))

/** A replica with an empty folder asks for an identity. */
struct JoinRequest
{
  ReplicaName mName;
  FailureDomain mDomain;
  Address mAddress;
  JoinNonce mNonce;
  /** It has no disk: what it has is gone with its process. */
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
  /** Where the leader is, when this replica isn't it. */
  std::optional<Address> mLeader;
  /** Why not, for people. */
  std::string mReason;

  auto operator<=>(const JoinReply&) const = default;
};
BOOST_DESCRIBE_STRUCT(JoinReply, (), (mNonce, mReplica, mLeader, mReason))

/**
 * The committed replica set no longer holds the identity that was spoken for.
 * Identities are never given twice, so this is final.
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

/** What travels between control replicas. */
struct ReplicaEnvelope
{
  /** Zero from or to a replica that has no identity yet. */
  SystemId mSystem;
  ReplicaId mFrom;
  ReplicaId mTo;
  /** Where the sender is reached; a new learner knows no addresses yet. */
  Address mReplyTo;
  ReplicaMessage mMessage;

  auto operator<=>(const ReplicaEnvelope&) const = default;
};
BOOST_DESCRIBE_STRUCT(ReplicaEnvelope,
                      (),
                      (mSystem, mFrom, mTo, mReplyTo, mMessage))

} // namespace peridotspool::control
