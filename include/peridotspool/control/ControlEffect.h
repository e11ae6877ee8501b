#pragma once

#include "peridotspool/control/OperatorResponse.h"
#include "peridotspool/control/PersistEffect.h"
#include "peridotspool/control/ReplicaMessage.h"
#include "peridotspool/membership/EntryMessage.h"

#include <boost/describe/enum.hpp>
#include <string>
#include <variant>
#include <vector>

namespace peridotspool::control {

/** Sends a message to another control replica; the message may be lost. */
struct ToReplicaEffect
{
  Address mTo;
  ReplicaEnvelope mEnvelope;
};

/** Sends a message on the connection that this entry process used last. */
struct ToEntryEffect
{
  membership::EntryNonce mTo;
  membership::ToEntryMessage mMessage;
};

/** The response to an OperatorEvent; exactly one for each. */
struct ResponseEffect
{
  CallId mCall;
  OperatorResponse mAnswer;
};

enum class ControlNotice
{
  kTookLead,
  kLostLead,
  kEpochMade,
  kSettingsCommitted,
  kReplicaSetChanged,
  kReplicaJoinRefused,
  kMemberSilent,
  kSnapshotMade,
  kSnapshotInstalled,
  kIdentityLost,
  kVoteSaved,
  kVoteAsked,
  kVoteHeard,
  kVoteAnswered,
};
BOOST_DESCRIBE_ENUM(ControlNotice,
                    kTookLead,
                    kLostLead,
                    kEpochMade,
                    kSettingsCommitted,
                    kReplicaSetChanged,
                    kReplicaJoinRefused,
                    kMemberSilent,
                    kSnapshotMade,
                    kSnapshotInstalled,
                    kIdentityLost,
                    kVoteSaved,
                    kVoteAsked,
                    kVoteHeard,
                    kVoteAnswered)

/** An event for the host's log. */
struct NoticeEffect
{
  ControlNotice mNotice = ControlNotice::kTookLead;
  /** The event's fields as key=value pairs. */
  std::string mText;
};

using ControlEffect = std::variant<ToReplicaEffect,
                                   ToEntryEffect,
                                   PersistEffect,
                                   ResponseEffect,
                                   NoticeEffect>;
using ControlEffects = std::vector<ControlEffect>;

} // namespace peridotspool::control
