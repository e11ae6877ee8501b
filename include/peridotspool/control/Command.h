#pragma once

#include "peridotspool/base/TextDelta.h"
#include "peridotspool/control/ReplicaSet.h"
#include "peridotspool/gateway/PeerMessage.h"
#include "peridotspool/gateway/QuotaFloors.h"
#include "peridotspool/membership/EntryNonce.h"
#include "peridotspool/membership/EntryProfile.h"
#include "peridotspool/rollout/Rollout.h"
#include "peridotspool/routing/Quarantine.h"

#include <boost/describe/class.hpp>
#include <string>
#include <variant>
#include <vector>

namespace peridotspool::control {

/** Changes nothing. A new leader appends it as the first entry of its term. */
struct NoopCommand
{
  auto operator<=>(const NoopCommand&) const = default;
};
BOOST_DESCRIBE_STRUCT(NoopCommand, (), ())

/**
 * Replaces the replica set. At most one replica differs from the previous set.
 */
struct ReplicaSetCommand
{
  ReplicaSet mSet;

  auto operator<=>(const ReplicaSetCommand&) const = default;
};
BOOST_DESCRIBE_STRUCT(ReplicaSetCommand, (), (mSet))

/** A settings edit that passed validation. */
struct EditCommand
{
  EditId mEdit;
  Revision mBase;
  /**
   * The delta against the text of mBase. Empty when mBase was already replaced.
   */
  TextDelta mDelta;
  /**
   * Checksum of the requested text and the base revision. Distinguishes edits
   * that carry the same id.
   */
  std::uint64_t mDigest = 0;
  std::string mAuthor;

  auto operator<=>(const EditCommand&) const = default;
};
BOOST_DESCRIBE_STRUCT(EditCommand, (), (mEdit, mBase, mDelta, mDigest, mAuthor))

/** An entry process that joins as a member. */
struct MemberJoin
{
  membership::EntryNonce mNonce;
  membership::EntryProfile mProfile;

  auto operator<=>(const MemberJoin&) const = default;
};
BOOST_DESCRIBE_STRUCT(MemberJoin, (), (mNonce, mProfile))

/** Creates one epoch that contains all of these changes. */
struct MembershipCommand
{
  std::vector<MemberJoin> mJoins;
  std::vector<MemberId> mDrains;
  std::vector<MemberId> mRemovals;

  auto operator<=>(const MembershipCommand&) const = default;
};
BOOST_DESCRIBE_STRUCT(MembershipCommand, (), (mJoins, mDrains, mRemovals))

/** Allocates the next fencing number for one order. */
struct FencingCommand
{
  auto operator<=>(const FencingCommand&) const = default;
};
BOOST_DESCRIBE_STRUCT(FencingCommand, (), ())

/**
 * Replaces the settings by a whole document with the version that the operator
 * assigned.
 */
struct DocumentCommand
{
  std::uint64_t mVersion = 0;
  /**
   * Packed (see base/PackedText.h), because documents with many routes are
   * long.
   */
  std::string mText;

  auto operator<=>(const DocumentCommand&) const = default;
};
BOOST_DESCRIBE_STRUCT(DocumentCommand, (), (mVersion, mText))

/** Fixes the reported usage of one window permanently. */
struct UsageCommand
{
  gateway::UsageWindow mWindow;

  auto operator<=>(const UsageCommand&) const = default;
};
BOOST_DESCRIBE_STRUCT(UsageCommand, (), (mWindow))

/** Changes the quarantine state of contents that crashed upstreams. */
struct QuarantineCommand
{
  std::vector<routing::QuarantineChange> mChanges;

  auto operator<=>(const QuarantineCommand&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuarantineCommand, (), (mChanges))

/** Starts, ends or extends a rollout. */
struct RolloutCommand
{
  std::
    variant<rollout::RolloutOrder, rollout::RolloutEnd, rollout::RolloutAdvance>
      mChange;

  auto operator<=>(const RolloutCommand&) const = default;
};
BOOST_DESCRIBE_STRUCT(RolloutCommand, (), (mChange))

/** Replaces the lower bounds (floors) of the customers' balances. */
struct QuotaFloorsCommand
{
  gateway::QuotaFloors mFloors;

  auto operator<=>(const QuotaFloorsCommand&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaFloorsCommand, (), (mFloors))

using Command = std::variant<NoopCommand,
                             ReplicaSetCommand,
                             EditCommand,
                             MembershipCommand,
                             FencingCommand,
                             DocumentCommand,
                             UsageCommand,
                             QuarantineCommand,
                             RolloutCommand,
                             QuotaFloorsCommand>;

} // namespace peridotspool::control
