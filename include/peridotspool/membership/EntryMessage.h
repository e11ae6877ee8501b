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

/** Sent by an entry to control replicas once in a heartbeat period. */
struct EntryHeartbeat
{
  /** Counts this process's heartbeats. */
  std::uint64_t mSequence = 0;
  /** Unset until the control log has made this process a member. */
  MemberId mMember;
  /** Given until the process is a member. */
  std::optional<EntryProfile> mProfile;
  /** The settings that this entry works by. */
  Revision mInForce;
  EpochNumber mEpoch;
  /** The process wants to leave. */
  bool mLeaving = false;
  /** The process has handed over all that it had. */
  bool mDone = false;
  /** Members that it can't reach. */
  std::vector<MemberId> mSuspected;
  /** It has not heard a leader lately: whoever hears this is to answer. */
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

/** Asks for the settings after mHave; zero asks for the whole tree. */
struct SettingsPull
{
  Revision mHave;

  auto operator<=>(const SettingsPull&) const = default;
};
BOOST_DESCRIBE_STRUCT(SettingsPull, (), (mHave))

/** Asks for the epochs after mHave; zero asks for all that are kept. */
struct EpochPull
{
  EpochNumber mHave;

  auto operator<=>(const EpochPull&) const = default;
};
BOOST_DESCRIBE_STRUCT(EpochPull, (), (mHave))

using FromEntryMessage = std::variant<EntryHeartbeat, SettingsPull, EpochPull>;

/** What travels from an entry to a control replica. */
struct EntryEnvelope
{
  EntryNonce mNonce;
  FromEntryMessage mMessage;

  auto operator<=>(const EntryEnvelope&) const = default;
};
BOOST_DESCRIBE_STRUCT(EntryEnvelope, (), (mNonce, mMessage))

enum class MembershipStatus
{
  /** Not a member yet, or the answering replica can't say. */
  kUnknown,
  kActive,
  kDraining,
  /** This process's membership is over for good. */
  kRemoved,
};
BOOST_DESCRIBE_ENUM(MembershipStatus, kUnknown, kActive, kDraining, kRemoved)

/** The answer to a heartbeat. */
struct HeartbeatResponse
{
  std::uint64_t mSequence = 0;
  /** True iff the replica leads and its lease holds; else only a hint. */
  bool mLeads = false;
  std::optional<Address> mLeaderHint;
  /** From here on only a leader's answer counts. */
  MembershipStatus mMembershipStatus = MembershipStatus::kUnknown;
  MemberId mMember;
  /** The newest committed settings, confirmed by a majority of replicas. */
  Revision mConfirmed;
  EpochNumber mEpoch;
  /** Runs from the moment when the heartbeat was sent; zero for none. */
  Duration mLease{ 0 };
  /** Where the control replicas are, as far as the answering one knows; in a
   * leader's answer those that vote come first. Not in each answer. */
  std::vector<Address> mControls;
  /** How many of them vote; 0 if that isn't said. */
  std::uint32_t mVoters = 0;

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
                       mVoters))

/** Committed settings: either deltas on mBase or the whole tree. */
struct SettingsPush
{
  /** The deltas' base; zero with mWhole. */
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

/** Committed epochs in rising order. */
struct EpochPush
{
  /** The first map, for an entry that lacks the base of mChanges. */
  std::optional<EpochMap> mWhole;
  std::vector<EpochChange> mChanges;

  auto operator<=>(const EpochPush&) const = default;
};
BOOST_DESCRIBE_STRUCT(EpochPush, (), (mWhole, mChanges))

using ToEntryMessage = std::variant<HeartbeatResponse, SettingsPush, EpochPush>;

} // namespace peridotspool::membership
