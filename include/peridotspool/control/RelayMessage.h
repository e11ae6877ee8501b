#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/gateway/PeerMessage.h"
#include "peridotspool/membership/EntryMessage.h"
#include "peridotspool/membership/RelayScope.h"

#include <boost/describe/class.hpp>
#include <variant>
#include <vector>

namespace peridotspool::control {

using RelayRequestPayload =
  std::variant<membership::EntryEnvelope, gateway::PeerMessage>;

/** A message that an entry asks its relay to forward. */
struct RelayRequest
{
  membership::RelayScope mScope = membership::RelayScope::kLeader;
  RelayRequestPayload mPayload;

  auto operator<=>(const RelayRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(RelayRequest, (), (mScope, mPayload))

/** An entry's message, forwarded by its relay. */
struct RelayedRequest
{
  Address mFrom;
  RelayRequestPayload mPayload;

  auto operator<=>(const RelayedRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(RelayedRequest, (), (mFrom, mPayload))

/** Messages of several entries, in the order in which they were received. */
struct RelayedRequests
{
  std::vector<RelayedRequest> mRequests;

  auto operator<=>(const RelayedRequests&) const = default;
};
BOOST_DESCRIBE_STRUCT(RelayedRequests, (), (mRequests))

struct RelayTarget
{
  Address mAddress;
  /** Unset for a message that is not part of a session. */
  membership::EntryNonce mNonce;

  auto operator<=>(const RelayTarget&) const = default;
};
BOOST_DESCRIBE_STRUCT(RelayTarget, (), (mAddress, mNonce))

using RelayReplyPayload =
  std::variant<membership::ToEntryMessage, gateway::PeerMessage>;

/** One message for each of the targets. */
struct RelayedReply
{
  std::vector<RelayTarget> mTargets;
  RelayReplyPayload mPayload;

  auto operator<=>(const RelayedReply&) const = default;
};
BOOST_DESCRIBE_STRUCT(RelayedReply, (), (mTargets, mPayload))

/** Messages that the relay delivers to its entries. */
struct RelayedReplies
{
  std::vector<RelayedReply> mReplies;

  auto operator<=>(const RelayedReplies&) const = default;
};
BOOST_DESCRIBE_STRUCT(RelayedReplies, (), (mReplies))

} // namespace peridotspool::control
