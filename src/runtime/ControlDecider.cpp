#include "runtime/ControlDecider.h"

#include "peridotspool/runtime/SystemClock.h"
#include "peridotspool/wire/Codec.h"
#include "runtime/HostParts.h"
#include "runtime/PeerTally.h"

#include <boost/describe/enum_to_string.hpp>

#include <utility>

namespace peridotspool::runtime {

namespace {

/** Addresses of entry processes kept; old lives are dropped beyond it. */
constexpr std::size_t kMaxEntryAddresses = 8192;
constexpr std::uint32_t kBadRequest = 400;
constexpr std::uint32_t kNotFound = 404;

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
    case ControlNotice::kIdentityLost:
      return EventId::kReplicaIdentityLost;
    case ControlNotice::kVoteSaved:
      return EventId::kVoteSaved;
    case ControlNotice::kVoteAsked:
      return EventId::kVoteAsked;
    case ControlNotice::kVoteHeard:
      return EventId::kVoteHeard;
    case ControlNotice::kVoteAnswered:
      return EventId::kVoteAnswered;
  }
  return EventId::kEpochChanged;
}

} // namespace

ControlDecider::ControlDecider(control::ControlNode aNode, ControlParts aParts)
  : mNode(std::move(aNode))
  , mParts(std::move(aParts))
  , mRegistry(membership::UpstreamRegistryOptions{
      .mRegistryIncarnation = membership::RegistryIncarnation(RandomNumber()) })
{
  if (mParts.mDuties != nullptr) {
    mDuties.emplace(
      *mParts.mDuties,
      mParts.mDialect,
      mDirectory,
      mParts.mLogger,
      mParts.mTakeCloud,
      [this](control::OperatorRequest aRequest) {
        mLastCall = mLastCall.Next();
        Step(control::OperatorEvent{ mLastCall, std::move(aRequest) });
      },
      [this](const Address& aTo, gateway::PeerMessage aMessage) {
        SendPeer(aTo, std::move(aMessage));
      });
  }
}

void
ControlDecider::Take(ControlInput aInput, TimePoint aNow)
{
  mNow = aNow;
  std::visit([this](auto& aAny) { On(aAny); }, aInput);
  SendRelayBatches();
}

void
ControlDecider::Tick(TimePoint aNow)
{
  mNow = aNow;
  Step(control::TickEvent{});
  SendAll(mRegistry.Tick(aNow));
  PullRegistries();
  AnswerWithdrawals();
  mTraffic.Tick(mParts.mLogger, mParts.mCounters, aNow);
  if (mDuties) {
    mDuties->Tick(mNode, aNow);
  }
  SendRelayBatches();
}

void
ControlDecider::Step(const control::ControlEvent& aEvent)
{
  for (const auto& effect : mNode.Step(aEvent, mNow)) {
    std::visit([this](const auto& aAny) { Carry(aAny); }, effect);
  }
}

void
ControlDecider::On(HttpInput& aInput)
{
  std::visit([&](auto& aCall) { Take(aInput, aCall); }, aInput.mCall);
}

// The moment of a rollout's order or end is this replica's to say.
void
ControlDecider::StampTime(control::OperatorRequest& aRequest) const
{
  const std::int64_t micros =
    mDuties ? mDuties->WallMicros(mNow) : ReadWallMicros();
  if (auto* start = std::get_if<control::RolloutStartRequest>(&aRequest)) {
    start->mOrder.mOrderedMicros = micros;
  } else if (auto* abort =
               std::get_if<control::RolloutAbortRequest>(&aRequest)) {
    abort->mMicros = micros;
  }
}

// Returns true iff the request was answered: an order of a rollout that nobody
// could carry out.
bool
ControlDecider::RefuseRollout(HttpInput& aInput,
                              const control::OperatorRequest& aRequest)
{
  const auto* start = std::get_if<control::RolloutStartRequest>(&aRequest);
  if (start == nullptr || (mDuties && !mNode.Leads(mNow))) {
    return false;
  }
  if (mDuties && mDuties->KnowsService(start->mOrder.mService, mNode, mNow)) {
    return false;
  }
  mParts.mLogger.Log(observe::EventId::kRolloutOrdered,
                     { { "service", start->mOrder.mService },
                       { "to", start->mOrder.mTo },
                       { "verdict", "refused" } });
  aInput.mServer->Respond(
    aInput.mExchange,
    { .mStatus = kNotFound,
      .mHeaders = { { "content-type", "application/json" } },
      .mBody = mDuties
                 ? R"({"reason":"the settings in force name no such service"})"
                 : R"({"reason":"this deployment carries out no rollouts"})" });
  return true;
}

void
ControlDecider::LogOrder(const control::OperatorResponse& aAnswer)
{
  if (const auto* order =
        std::get_if<control::RolloutOrderResponse>(&aAnswer)) {
    mParts.mLogger.Log(
      observe::EventId::kRolloutOrdered,
      { { "rollout", order->mLatest.mId },
        { "service", order->mLatest.mOrder.mService },
        { "to", order->mLatest.mOrder.mTo },
        { "duration_ms", order->mLatest.mOrder.mDuration },
        { "verdict", boost::describe::enum_to_string(order->mVerdict, "") } });
  }
}

void
ControlDecider::Take(HttpInput& aInput, control::OperatorRequest& aRequest)
{
  if (RefuseRollout(aInput, aRequest)) {
    return;
  }
  StampTime(aRequest);
  mLastCall = mLastCall.Next();
  control::OperatorEvent event{ mLastCall, std::move(aRequest) };
  mCalls.emplace(mLastCall, std::move(aInput));
  Step(event);
}

void
ControlDecider::Take(HttpInput& aInput, DirectoryCall& aCall)
{
  const auto& entries = mNode.ReadyEntries(mNow);
  mParts.mLogger.Log(observe::EventId::kDirectoryAnswered,
                     { { "domain", aCall.mDomain },
                       { "entries", entries.size() },
                       { "leads", mNode.Leads(mNow) } });
  aInput.mServer->Respond(aInput.mExchange,
                          mParts.mDialect.mWriteDirectory(entries, aCall));
}

void
ControlDecider::Take(HttpInput& aInput, AnsweredCall& aCall)
{
  if (aCall.mResponse.mStatus == kBadRequest) {
    mParts.mCounters.Add(observe::CounterId::kRefusedMalformed);
    mParts.mLogger.Log(observe::EventId::kCallMalformed,
                       { { "answer", aCall.mResponse.mBody } });
  }
  aInput.mServer->Respond(aInput.mExchange, std::move(aCall.mResponse));
}

void
ControlDecider::TakeShared(const Address& aFrom,
                           const gateway::PeerMessage& aMessage)
{
  if (!mDuties) {
    return;
  }
  mDuties->Take(aFrom, aMessage, mNode, mNow);
}

void
ControlDecider::On(CloudInput& aInput)
{
  if (mDuties) {
    mDuties->Take(aInput, mNow);
  }
}

void
ControlDecider::On(ControlPeerInput& aInput)
{
  auto& payload = aInput.mEnvelope.mPayload;
  if (auto* replica = std::get_if<control::ReplicaEnvelope>(&payload)) {
    Step(control::FromReplicaEvent{ std::move(*replica) });
  } else if (auto* entry = std::get_if<membership::EntryEnvelope>(&payload)) {
    mReplyRouter.RecordDirect(aInput.mEnvelope.mFrom);
    TakeEntryMessage(aInput.mEnvelope.mFrom, std::move(*entry));
  } else if (const auto* registry =
               std::get_if<membership::RegistryMessage>(&payload)) {
    TakeRegistry(aInput.mEnvelope.mFrom, *registry);
  } else if (auto* shared = std::get_if<gateway::PeerMessage>(&payload)) {
    mReplyRouter.RecordDirect(aInput.mEnvelope.mFrom);
    TakeEntryMessage(aInput.mEnvelope.mFrom, std::move(*shared));
  } else if (auto* request = std::get_if<control::RelayRequest>(&payload)) {
    TakeRelay(aInput.mEnvelope.mFrom, *request);
  } else if (auto* requests = std::get_if<control::RelayedRequests>(&payload)) {
    TakeRelay(aInput.mEnvelope.mFrom, *requests);
  } else if (const auto* replies =
               std::get_if<control::RelayedReplies>(&payload)) {
    TakeRelay(aInput.mEnvelope.mFrom, *replies);
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
  if (!QueueForRelay(aTo, aPayload)) {
    SendFrame(aTo,
              { .mFrom = mParts.mTransport.LocalAddress(),
                .mPayload = std::move(aPayload) });
  }
}

void
ControlDecider::SendFrame(const Address& aTo,
                          const wire::PeerEnvelope& aEnvelope)
{
  std::string frame = wire::Encode(aEnvelope);
  CountSent(mParts.mCounters, aEnvelope.mPayload, frame.size());
  mParts.mTransport.Send(aTo, std::move(frame));
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
ControlDecider::Carry(const control::ResponseEffect& aEffect)
{
  const auto call = mCalls.find(aEffect.mCall);
  if (call == mCalls.end()) {
    return;
  }
  const HttpInput input = std::move(call->second);
  mCalls.erase(call);
  LogOrder(aEffect.mAnswer);
  input.mServer->Respond(
    input.mExchange,
    mParts.mDialect.mWriteAnswer(aEffect.mAnswer, input.mTarget));
}

void
ControlDecider::Carry(const control::NoticeEffect& aEffect)
{
  mParts.mLogger.Log(EventOf(aEffect.mNotice), { { "text", aEffect.mText } });
}

} // namespace peridotspool::runtime
