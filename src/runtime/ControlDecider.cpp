#include "runtime/ControlDecider.h"

#include "peridotspool/wire/Codec.h"

#include <utility>

namespace peridotspool::runtime {

namespace {

/** Addresses of entry processes kept; old lives are dropped beyond it. */
constexpr std::size_t kMaxEntryAddresses = 8192;

observe::EventId
EventOf(control::ControlNotice aNotice)
{
  using control::ControlNotice;
  using observe::EventId;
  switch (aNotice) {
    case ControlNotice::kTookLead:
      return EventId::kLeaderElected;
    case ControlNotice::kLostLead:
      return EventId::kLeaderSteppedDown;
    case ControlNotice::kEpochMade:
      return EventId::kEpochChanged;
    case ControlNotice::kSettingsCommitted:
      return EventId::kSettingsCommitted;
    case ControlNotice::kReplicaSetChanged:
      return EventId::kReplicaSetChanged;
    case ControlNotice::kReplicaJoinRefused:
      return EventId::kReplicaJoinRefused;
    case ControlNotice::kMemberSilent:
      return EventId::kMemberSilent;
    case ControlNotice::kSnapshotMade:
      return EventId::kSnapshotTaken;
    case ControlNotice::kSnapshotInstalled:
      return EventId::kSnapshotInstalled;
  }
  return EventId::kEpochChanged;
}

} // namespace

ControlDecider::ControlDecider(control::ControlNode aNode, ControlParts aParts)
  : mNode(std::move(aNode))
  , mParts(std::move(aParts))
{
}

void
ControlDecider::Take(ControlInput aInput, TimePoint aNow)
{
  mNow = aNow;
  std::visit([this](auto& aAny) { On(aAny); }, aInput);
}

void
ControlDecider::Tick(TimePoint aNow)
{
  mNow = aNow;
  Step(control::TickEvent{});
}

void
ControlDecider::Step(const control::ControlEvent& aEvent)
{
  for (const auto& effect : mNode.Step(aEvent, mNow)) {
    std::visit([this](const auto& aAny) { Carry(aAny); }, effect);
  }
}

void
ControlDecider::On(OperatorInput& aInput)
{
  Step(control::OperatorEvent{ CallId(aInput.mExchange),
                               std::move(aInput.mRequest) });
}

void
ControlDecider::On(ControlPeerInput& aInput)
{
  auto& payload = aInput.mEnvelope.mPayload;
  if (auto* replica = std::get_if<control::ReplicaEnvelope>(&payload)) {
    Step(control::FromReplicaEvent{ std::move(*replica) });
  } else if (auto* entry = std::get_if<membership::EntryEnvelope>(&payload)) {
    Remember(aInput.mEnvelope.mFrom, entry->mNonce);
    Step(control::FromEntryEvent{ std::move(*entry) });
  }
}

void
ControlDecider::On(SyncedInput& aInput)
{
  Step(control::SyncedEvent{ aInput.mToken });
}

void
ControlDecider::On(StopInput& /*aInput*/)
{
  mStopped = true;
}

void
ControlDecider::Remember(const Address& aFrom, membership::EntryNonce aNonce)
{
  if (mEntries.size() >= kMaxEntryAddresses) {
    // Live entries are learnt again with their next heartbeat.
    mEntries.clear();
  }
  mEntries[aNonce] = aFrom;
}

void
ControlDecider::SendPeer(const Address& aTo, wire::PeerPayload aPayload)
{
  const wire::PeerEnvelope envelope{ .mFrom = mParts.mTransport.LocalAddress(),
                                     .mPayload = std::move(aPayload) };
  mParts.mTransport.Send(aTo, wire::Encode(envelope));
}

void
ControlDecider::Carry(const control::ToReplicaEffect& aEffect)
{
  SendPeer(aEffect.mTo, aEffect.mEnvelope);
}

void
ControlDecider::Carry(const control::ToEntryEffect& aEffect)
{
  const auto address = mEntries.find(aEffect.mTo);
  if (address != mEntries.end()) {
    SendPeer(address->second,
             wire::ToEntryEnvelope{ aEffect.mTo, aEffect.mMessage });
  }
}

void
ControlDecider::Carry(const control::PersistEffect& aEffect)
{
  mParts.mDisk.Push(aEffect);
}

void
ControlDecider::Carry(const control::AnswerEffect& aEffect)
{
  mParts.mServer.Respond(
    aEffect.mCall.Value(),
    http::WriteOperatorAnswer(aEffect.mAnswer, mParts.mFindHttp));
}

void
ControlDecider::Carry(const control::NoticeEffect& aEffect)
{
  mParts.mLogger.Log(EventOf(aEffect.mNotice), { { "text", aEffect.mText } });
}

} // namespace peridotspool::runtime
