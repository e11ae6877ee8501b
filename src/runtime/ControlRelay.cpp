// Entries' messages that this replica forwards as a relay, and those that it
// receives from other relays.

#include "peridotspool/base/Overloaded.h"
#include "runtime/ControlDecider.h"

#include <algorithm>
#include <utility>

namespace peridotspool::runtime {

using membership::RelayScope;

void
ControlDecider::TakeEntryMessage(const Address& aFrom,
                                 control::RelayRequestPayload aPayload)
{
  std::visit(Overloaded{ [&](membership::EntryEnvelope& aEntry) {
                          Remember(aFrom, aEntry.mNonce);
                          Step(control::FromEntryEvent{ std::move(aEntry) });
                        },
                         [&](const gateway::PeerMessage& aShared) {
                           TakeShared(aFrom, aShared);
                         } },
             aPayload);
}

std::vector<Address>
ControlDecider::RelayDestinations(RelayScope aScope) const
{
  std::vector<Address> destinations;
  if (aScope == RelayScope::kLeader) {
    if (const auto leader = mNode.LeaderAddress()) {
      destinations.push_back(*leader);
    }
  } else if (aScope == RelayScope::kVoters) {
    destinations = mNode.VoterAddresses();
  } else {
    destinations = mNode.ReplicaAddresses();
  }
  std::erase(destinations, mParts.mTransport.LocalAddress());
  return destinations;
}

void
ControlDecider::TakeRelay(const Address& aFrom, control::RelayRequest& aRequest)
{
  mReplyRouter.RecordDirect(aFrom);
  for (const Address& destination : RelayDestinations(aRequest.mScope)) {
    mRelayBatcher.Add(destination,
                      { .mFrom = aFrom, .mPayload = aRequest.mPayload });
  }
  TakeEntryMessage(aFrom, std::move(aRequest.mPayload));
}

void
ControlDecider::TakeRelay(const Address& aFrom,
                          control::RelayedRequests& aRequests)
{
  for (control::RelayedRequest& request : aRequests.mRequests) {
    mReplyRouter.RecordRelayed(request.mFrom, aFrom);
    TakeEntryMessage(request.mFrom, std::move(request.mPayload));
  }
}

// The entry sees the replica that replied as the sender.
void
ControlDecider::TakeRelay(const Address& aFrom,
                          const control::RelayedReplies& aReplies)
{
  for (const control::RelayedReply& reply : aReplies.mReplies) {
    for (const control::RelayTarget& target : reply.mTargets) {
      wire::PeerEnvelope envelope{ .mFrom = aFrom, .mPayload = {} };
      std::visit(Overloaded{ [&](const membership::ToEntryMessage& aMessage) {
                              envelope.mPayload =
                                wire::ToEntryEnvelope{ target.mNonce,
                                                       aMessage };
                            },
                             [&](const gateway::PeerMessage& aShared) {
                               envelope.mPayload = aShared;
                             } },
                 reply.mPayload);
      SendFrame(target.mAddress, envelope);
    }
  }
}

bool
ControlDecider::QueueForRelay(const Address& aTo,
                              const wire::PeerPayload& aPayload)
{
  if (const auto* entry = std::get_if<wire::ToEntryEnvelope>(&aPayload)) {
    return mReplyRouter.Queue({ .mAddress = aTo, .mNonce = entry->mTo },
                              entry->mMessage);
  }
  if (const auto* shared = std::get_if<gateway::PeerMessage>(&aPayload)) {
    return mReplyRouter.Queue({ .mAddress = aTo, .mNonce = {} }, *shared);
  }
  return false;
}

void
ControlDecider::SendRelayBatches()
{
  for (control::ReplyBatch& batch : mReplyRouter.TakeAll()) {
    SendPeer(batch.mRelay, std::move(batch.mReplies));
  }
  for (control::RelayBatch& batch : mRelayBatcher.TakeDue(mNow)) {
    SendPeer(batch.mTo, std::move(batch.mRequests));
  }
}

} // namespace peridotspool::runtime
