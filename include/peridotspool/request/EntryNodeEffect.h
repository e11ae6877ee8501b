#pragma once

#include "peridotspool/membership/EntryMessage.h"
#include "peridotspool/membership/RelayScope.h"
#include "peridotspool/request/Effect.h"
#include "peridotspool/request/EntryNodeEvent.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridotspool::request {

struct ToControlReplicaEffect
{
  Address mTo;
  membership::EntryEnvelope mEnvelope;
  /** Set if mTo is a relay: the replicas to which it forwards the message. */
  std::optional<membership::RelayScope> mRelayScope;
};

struct ToMemberEffect
{
  Address mTo;
  MemberId mFrom;
  MemberId mToMember;
  FromMemberMessage mMessage;
};

/** Applies these settings; the host then sends SettingsAppliedEvent. */
struct ApplySettingsEffect
{
  Revision mRevision;
  std::string mText;
};

/** The control log added this process as a member. */
struct BecameMemberEffect
{
  MemberId mMember;
};

/** A newer member list was adopted. */
struct EpochAdoptedEffect
{
  EpochNumber mEpoch;
  std::size_t mMembers = 0;
};

/** The membership has ended. The entry starts a new incarnation by itself
 * unless it is leaving. */
struct LostMembershipEffect
{};

/** The entry has left, or the time limit for leaving has passed; the process
 * may stop. */
struct LeftEffect
{};

using EntryNodeEffect = std::variant<ToControlReplicaEffect,
                                     ToMemberEffect,
                                     ApplySettingsEffect,
                                     BecameMemberEffect,
                                     EpochAdoptedEffect,
                                     LostMembershipEffect,
                                     LeftEffect,
                                     StartUpstreamEffect,
                                     DropUpstreamEffect,
                                     CancelUpstreamEffect,
                                     ReplyEffect,
                                     CountEffect,
                                     ExplainEffect>;
using EntryNodeEffects = std::vector<EntryNodeEffect>;

} // namespace peridotspool::request
