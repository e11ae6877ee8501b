#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/control/RelayMessage.h"
#include "peridotspool/control/ReplicaMessage.h"
#include "peridotspool/gateway/PeerMessage.h"
#include "peridotspool/ledger/Message.h"
#include "peridotspool/membership/EntryMessage.h"
#include "peridotspool/membership/RegistryMessage.h"
#include "peridotspool/request/RelayMessage.h"
#include "peridotspool/routing/UpstreamReport.h"

#include <boost/describe/class.hpp>
#include <variant>

namespace peridotspool::wire {

/** From a control replica to one life of an entry process. */
struct ToEntryEnvelope
{
  membership::EntryNonce mTo;
  membership::ToEntryMessage mMessage;

  auto operator<=>(const ToEntryEnvelope&) const = default;
};
BOOST_DESCRIBE_STRUCT(ToEntryEnvelope, (), (mTo, mMessage))

using MemberMessage = std::variant<ledger::Message,
                                   request::RelayMessage,
                                   routing::UpstreamAnnouncement>;

/**
 * Between two entries. A restarted entry listens where its earlier life did,
 * so the member that is meant is named.
 */
struct MemberEnvelope
{
  MemberId mFrom;
  MemberId mTo;
  MemberMessage mMessage;

  auto operator<=>(const MemberEnvelope&) const = default;
};
BOOST_DESCRIBE_STRUCT(MemberEnvelope, (), (mFrom, mTo, mMessage))

using PeerPayload = std::variant<control::ReplicaEnvelope,
                                 membership::EntryEnvelope,
                                 ToEntryEnvelope,
                                 MemberEnvelope,
                                 membership::RegistryMessage,
                                 gateway::PeerMessage,
                                 control::RelayRequest,
                                 control::RelayedRequests,
                                 control::RelayedReplies>;

/** One frame between two of our processes. */
struct PeerEnvelope
{
  /** Where the sender listens. */
  Address mFrom;
  PeerPayload mPayload;

  auto operator<=>(const PeerEnvelope&) const = default;
};
BOOST_DESCRIBE_STRUCT(PeerEnvelope, (), (mFrom, mPayload))

} // namespace peridotspool::wire
