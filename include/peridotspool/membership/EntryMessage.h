#pragma once

#include "peridotspool/base/TextDelta.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/membership/EntryNonce.h"
#include "peridotspool/membership/EntryProfile.h"
#include "peridotspool/membership/EpochChange.h"

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridotspool::membership {

/** Sent by an entry to control replicas once per heartbeat period. */
struct EntryHeartbeat
{
  /** Sequence number of the heartbeat within the session. */
  std::uint64_t mSequence = 0;
  /** Unset until the control log has admitted this process as a member. */
  MemberId mMember;
  /** Always set until the process is a member, then set periodically. */
  std::optional<EntryProfile> mProfile;
  /** Revision of the settings that this entry uses. */
  Revision mInForce;
  EpochNumber mEpoch;
  /** The process requests to leave. */
  bool mLeaving = false;
  /** The process has handed over everything that it held. */
  bool mDone = false;
  /** Members that the process cannot reach. */
  std::vector<MemberId> mSuspected;
  /**
   * The process has not received a recent response from a leader. Any replica
   * that receives this heartbeat is to respond.
   */
  bool mSeeksLeader = false;

  auto operator<=>(const EntryHeartbeat&) const = default;
};
BOOST_DESCRIBE_STRUCT(EntryHeartbeat,
                      (),
                      (mSequence,
                       mMember,
                       mProfile,
                       mInForce,
                       mEpoch,
                       mLeaving,
                       mDone,
                       mSuspected,
                       mSeeksLeader))

/** Requests the settings after mHave, or the whole tree if it is zero. */
struct SettingsPull
{
  Revision mHave;

  auto operator<=>(const SettingsPull&) const = default;
};
BOOST_DESCRIBE_STRUCT(SettingsPull, (), (mHave))

/** Requests the epochs after mHave, or all retained epochs if it is zero. */
struct EpochPull
{
  EpochNumber mHave;

  auto operator<=>(const EpochPull&) const = default;
};
BOOST_DESCRIBE_STRUCT(EpochPull, (), (mHave))

using FromEntryMessage = std::variant<EntryHeartbeat, SettingsPull, EpochPull>;

/** A message from an entry to a control replica, with the sender's nonce. */
struct EntryEnvelope
{
  EntryNonce mNonce;
  FromEntryMessage mMessage;

  auto operator<=>(const EntryEnvelope&) const = default;
};
BOOST_DESCRIBE_STRUCT(EntryEnvelope, (), (mNonce, mMessage))

/** An entry's membership as reported by a control replica. */
enum class MembershipStatus
{
  /** Not a member yet, or unknown to the responding replica. */
  kUnknown,
  kActive,
  kDraining,
  /** This process's membership has ended permanently. */
  kRemoved,
};
BOOST_DESCRIBE_ENUM(MembershipStatus, kUnknown, kActive, kDraining, kRemoved)

/** The response to a heartbeat. */
struct HeartbeatResponse
{
  /** Sequence number of the heartbeat. */
  std::uint64_t mSequence = 0;
  /**
   * True iff the replica is the leader and its lease is valid. Otherwise the
   * response is only a hint about where the replicas are.
   */
  bool mLeads = false;
  std::optional<Address> mLeaderHint;
  /** The fields from here to mLease are valid only in a leader's response. */
  MembershipStatus mMembershipStatus = MembershipStatus::kUnknown;
  MemberId mMember;
  /** Newest committed settings, confirmed by a majority of replicas. */
  Revision mConfirmed;
  EpochNumber mEpoch;
  /** Starts when the heartbeat was sent; zero means no lease. */
  Duration mLease{ 0 };
  /**
   * Addresses of the control replicas known to the responding replica. In a
   * leader's response the voters come first. Empty in some responses.
   */
  std::vector<Address> mControls;
  /** Number of voters in mControls; 0 if not specified. */
  std::uint32_t mVoters = 0;
  /**
   * Replicas that forward this entry's messages. Specified where mControls is;
   * empty if the entry is to send its messages to each replica.
   */
  std::vector<Address> mRelays;

  auto operator<=>(const HeartbeatResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(HeartbeatResponse,
                      (),
                      (mSequence,
                       mLeads,
                       mLeaderHint,
                       mMembershipStatus,
                       mMember,
                       mConfirmed,
                       mEpoch,
                       mLease,
                       mControls,
                       mVoters,
                       mRelays))

/** Committed settings, either as deltas on mBase or as the whole tree. */
struct SettingsPush
{
  /** Revision that the deltas apply to; zero if mWhole is set. */
  Revision mBase;
  Revision mRevision;
  std::vector<TextDelta> mDeltas;
  std::optional<std::string> mWhole;
  /** Checksum of the text at mRevision. */
  std::uint64_t mDigest = 0;

  auto operator<=>(const SettingsPush&) const = default;
};
BOOST_DESCRIBE_STRUCT(SettingsPush,
                      (),
                      (mBase, mRevision, mDeltas, mWhole, mDigest))

/** Committed epochs in ascending order. */
struct EpochPush
{
  /** The base of mChanges, for an entry that does not have it. */
  std::optional<EpochMap> mWhole;
  std::vector<EpochChange> mChanges;

  auto operator<=>(const EpochPush&) const = default;
};
BOOST_DESCRIBE_STRUCT(EpochPush, (), (mWhole, mChanges))

using ToEntryMessage = std::variant<HeartbeatResponse, SettingsPush, EpochPush>;

} // namespace peridotspool::membership
