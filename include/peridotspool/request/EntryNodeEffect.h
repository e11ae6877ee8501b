#pragma once

#include "peridotspool/membership/EntryMessage.h"
#include "peridotspool/request/Effect.h"
#include "peridotspool/request/EntryNodeEvent.h"

#include <string>
#include <variant>
#include <vector>

namespace peridotspool::request {

struct ToControlReplicaEffect
{
  Address mTo;
  membership::EntryEnvelope mEnvelope;
};

struct ToMemberEffect
{
  Address mTo;
  MemberId mFrom;
  MemberId mToMember;
  FromMemberMessage mMessage;
};

/** Put these settings in force, then send SettingsAppliedEvent. */
struct ApplySettingsEffect
{
  Revision mRevision;
  std::string mText;
};

/** The control log made this process a member. */
struct BecameMemberEffect
{
  MemberId mMember;
};

/** A newer member list was taken. */
struct EpochAdoptedEffect
{
  EpochNumber mEpoch;
  std::size_t mMembers = 0;
};

/** The membership is over; a new life begins by itself unless leaving. */
struct LostMembershipEffect
{};

/** All is handed over: the process may stop. */
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
