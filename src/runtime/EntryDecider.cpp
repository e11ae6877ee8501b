#include "runtime/EntryDecider.h"

#include "peridotspool/wire/Codec.h"
#include "runtime/HostParts.h"
#include "runtime/PeerTally.h"

#include <boost/describe/enum_to_string.hpp>

#include <utility>

namespace peridotspool::runtime {

namespace {

/** How often the peers that can't be reached are told to the node. */
constexpr Duration kReachCheck = std::chrono::milliseconds(250);
constexpr std::size_t kExplainedRequests = 2000;
/** Side calls are numbered above all calls that the core starts. */
constexpr http::ClientCallId kFirstSideCall = 1ULL << 62;

} // namespace

EntryDecider::EntryDecider(request::EntryNodeOptions aOptions,
                           std::string aName,
                           EntryParts aParts,
                           TimePoint aNow)
  : mName(std::move(aName))
  , mParts(aParts)
  , mNode(std::move(aOptions), aNow)
  , mExplain(kExplainedRequests)
  , mLastSideCall(kFirstSideCall)
{
}

void
EntryDecider::Take(EntryInput aInput, TimePoint aNow)
{
  mNow = aNow;
  std::visit([this](auto& aAny) { On(aAny); }, aInput);
}

void
EntryDecider::Tick(TimePoint aNow)
{
  mNow = aNow;
  if (aNow >= mNextReachCheck) {
    mNextReachCheck = aNow + kReachCheck;
    Step(request::UnreachableEvent{ mParts.mTransport.Unreachable() });
  }
  Step(request::TickEvent{});
}

void
EntryDecider::Step(const request::EntryNodeEvent& aEvent)
{
  for (const auto& effect : mNode.Step(aEvent, mNow)) {
    std::visit([this](const auto& aAny) { Carry(aAny); }, effect);
  }
  mParts.mSettings.SetConfirmedAt(mNode.SettingsConfirmedAt());
}

void
EntryDecider::On(CommandInput& aInput)
{
  std::visit([&](auto& aAny) { OnCommand(aInput.mExchange, aAny); },
             aInput.mCommand);
}

void
EntryDecider::On(GoneInput& aInput)
{
  if (mExchanges.count(aInput.mExchange) > 0) {
    Forget(aInput.mExchange);
    Step(request::CallerEvent{
      request::CallerGoneEvent{ CallId(aInput.mExchange) } });
  }
}

void
EntryDecider::On(CallInput& aInput)
{
  const auto reader = mReaders.find(aInput.mCall);
  if (reader == mReaders.end()) {
    return;
  }
  auto outcomes = std::visit(
    [&](auto& aReader) { return aReader.Take(aInput.mEvent); }, reader->second);
  const bool over = std::holds_alternative<http::CallDone>(aInput.mEvent) ||
                    std::holds_alternative<http::CallFailed>(aInput.mEvent);
  if (over) {
    mReaders.erase(reader);
  }
  for (auto& outcome : outcomes) {
    Step(request::UpstreamEvent{ CallId(aInput.mCall), std::move(outcome) });
  }
}

void
EntryDecider::On(PeerInput& aInput)
{
  std::visit([&](const auto& aAny) { OnPayload(aInput.mEnvelope.mFrom, aAny); },
             aInput.mEnvelope.mPayload);
}

void
EntryDecider::On(LeaveInput& /*aInput*/)
{
  Step(request::LeaveNodeEvent{});
}

void
EntryDecider::OnPayload(const Address& /*aFrom*/,
                        const control::ReplicaEnvelope& /*aOne*/)
{
  // Meant for a control replica.
}

void
EntryDecider::OnPayload(const Address& /*aFrom*/,
                        const membership::EntryEnvelope& /*aOne*/)
{
  // Meant for a control replica.
}

void
EntryDecider::OnPayload(const Address& /*aFrom*/,
                        const control::RelayRequest& /*aOne*/)
{
  // Meant for a control replica.
}

void
EntryDecider::OnPayload(const Address& /*aFrom*/,
                        const control::RelayedRequests& /*aOne*/)
{
  // Meant for a control replica.
}

void
EntryDecider::OnPayload(const Address& /*aFrom*/,
                        const control::RelayedReplies& /*aOne*/)
{
  // Meant for a control replica.
}

void
EntryDecider::OnPayload(const Address& /*aFrom*/,
                        const membership::RegistryMessage& /*aOne*/)
{
  // Upstreams announce themselves to this kind of entry.
}

void
EntryDecider::OnPayload(const Address& /*aFrom*/,
                        const gateway::PeerMessage& /*aOne*/)
{
  // This kind of entry shares limits in its own way.
}

void
EntryDecider::OnPayload(const Address& /*aFrom*/,
                        const wire::ToEntryEnvelope& aOne)
{
  Step(request::FromControlReplicaEvent{ aOne.mTo, aOne.mMessage });
}

void
EntryDecider::OnPayload(const Address& /*aFrom*/,
                        const wire::MemberEnvelope& aOne)
{
  Step(request::FromMemberEvent{ aOne.mFrom, aOne.mTo, aOne.mMessage });
}

void
EntryDecider::SendPeer(const Address& aTo, wire::PeerPayload aPayload)
{
  const wire::PeerEnvelope envelope{ .mFrom = mParts.mTransport.LocalAddress(),
                                     .mPayload = std::move(aPayload) };
  std::string frame = wire::Encode(envelope);
  CountSent(mParts.mCounters, envelope.mPayload, frame.size());
  mParts.mTransport.Send(aTo, std::move(frame));
}

void
EntryDecider::Carry(const request::ToControlReplicaEffect& aEffect)
{
  if (aEffect.mRelayScope) {
    SendPeer(aEffect.mTo,
             control::RelayRequest{ .mScope = *aEffect.mRelayScope,
                                    .mPayload = aEffect.mEnvelope });
  } else {
    SendPeer(aEffect.mTo, aEffect.mEnvelope);
  }
}

void
EntryDecider::Carry(const request::ToMemberEffect& aEffect)
{
  SendPeer(
    aEffect.mTo,
    wire::MemberEnvelope{ aEffect.mFrom, aEffect.mToMember, aEffect.mMessage });
}

void
EntryDecider::Carry(const request::ApplySettingsEffect& aEffect)
{
  settings::SettingsErrors errors;
  auto tree = settings::SettingsTree::Parse(
    aEffect.mText,
    "revision " + std::to_string(aEffect.mRevision.Value()),
    errors);
  if (tree) {
    mParts.mSettings.Store(tree);
    Step(request::SettingsAppliedEvent{ aEffect.mRevision, std::move(tree) });
  }
  // A text that the control replicas took and this program can't read (it is
  // older, say) stays out of force: the operators see this entry as missing.
}

void
EntryDecider::Carry(const request::BecameMemberEffect& aEffect)
{
  mParts.mLogger.Log(observe::EventId::kEntryJoined,
                     { { "member", aEffect.mMember } });
}

void
EntryDecider::Carry(const request::EpochAdoptedEffect& aEffect)
{
  mParts.mLogger.Log(
    observe::EventId::kEpochChanged,
    { { "epoch", aEffect.mEpoch }, { "members", aEffect.mMembers } });
}

void
EntryDecider::Carry(const request::LostMembershipEffect& /*aEffect*/)
{
  mParts.mLogger.Log(observe::EventId::kLeaseLost);
}

void
EntryDecider::Carry(const request::LeftEffect& /*aEffect*/)
{
  mLeft = true;
  mParts.mLogger.Log(observe::EventId::kEntryLeft);
}

void
EntryDecider::Carry(const request::StartUpstreamEffect& aEffect)
{
  const http::ClientCallId call = aEffect.mCall.Value();
  mReaders.emplace(call, http::MakeAnswerReader(aEffect.mKind));
  mParts.mClient.Start(
    call, aEffect.mAddress, http::MakeUpstreamRequest(aEffect));
}

void
EntryDecider::Carry(const request::DropUpstreamEffect& aEffect)
{
  mReaders.erase(aEffect.mCall.Value());
  mParts.mClient.Cancel(aEffect.mCall.Value());
}

void
EntryDecider::Carry(const request::CancelUpstreamEffect& aEffect)
{
  if (aEffect.mKind == routing::UpstreamKind::kModelEngine) {
    mParts.mClient.Start(
      ++mLastSideCall, aEffect.mAddress, http::MakeCancelRequest(aEffect));
  }
}

void
EntryDecider::Carry(const request::ReplyEffect& aEffect)
{
  const http::ExchangeId exchange = aEffect.mExchange.Value();
  const auto found = mExchanges.find(exchange);
  if (found == mExchanges.end()) {
    return;
  }
  std::string executor;
  if (const auto* final = std::get_if<request::FinalReply>(&aEffect.mReply)) {
    executor = mNode.NameOf(final->mExecutor).Value();
  }
  Measure(exchange, aEffect.mReply);
  Write(exchange, found->second.Take(aEffect.mReply, executor));
}

void
EntryDecider::Measure(http::ExchangeId aExchange, const request::Reply& aReply)
{
  ExchangeTimes& times = mTimes[aExchange];
  const Duration sinceBegin = mNow - times.mBegan;
  const auto observe = [this](observe::HistogramId aId, Duration aTime) {
    mParts.mCounters.Histogram(aId).Observe(aTime);
  };
  if (std::holds_alternative<request::AcceptedReply>(aReply)) {
    observe(observe::HistogramId::kAcceptTime, sinceBegin);
  } else if (std::holds_alternative<request::PieceReply>(aReply)) {
    observe(times.mLastPiece ? observe::HistogramId::kTokenGap
                             : observe::HistogramId::kFirstTokenTime,
            times.mLastPiece ? mNow - *times.mLastPiece : sinceBegin);
    times.mLastPiece = mNow;
  } else if (std::holds_alternative<request::FinalReply>(aReply)) {
    observe(observe::HistogramId::kAnswerTime, sinceBegin);
  }
}

void
EntryDecider::Forget(http::ExchangeId aExchange)
{
  mExchanges.erase(aExchange);
  mTimes.erase(aExchange);
}

void
EntryDecider::Write(http::ExchangeId aExchange, http::CallerOutput aOutput)
{
  if (aOutput.mWhole) {
    mParts.mServer.Respond(aExchange, std::move(*aOutput.mWhole));
    Forget(aExchange);
    return;
  }
  if (aOutput.mHead) {
    mParts.mServer.BeginStream(aExchange, std::move(*aOutput.mHead));
  }
  if (!aOutput.mPiece.empty()) {
    mParts.mServer.SendPiece(aExchange, std::move(aOutput.mPiece));
  }
  if (aOutput.mEnd) {
    mParts.mServer.EndStream(aExchange);
    Forget(aExchange);
  }
}

void
EntryDecider::Carry(const request::CountEffect& aEffect)
{
  mParts.mCounters.Add(observe::CounterOf(aEffect.mTally), aEffect.mAmount);
  LogTally(aEffect.mTally);
}

void
EntryDecider::LogTally(request::Tally aTally)
{
  const std::string name = boost::describe::enum_to_string(aTally, "kUnknown");
  const auto begins = [&](std::string_view aStart) {
    return name.compare(0, aStart.size(), aStart) == 0;
  };
  constexpr std::string_view kRefused = "kRefused";
  constexpr std::string_view kRetry = "kRetry";
  if (begins(kRefused)) {
    mParts.mLogger.Log(observe::EventId::kRequestRefused,
                       { { "reason", name.substr(kRefused.size()) } });
  } else if (begins(kRetry)) {
    mParts.mLogger.Log(observe::EventId::kRequestRetried,
                       { { "reason", name.substr(kRetry.size()) } });
  } else if (aTally == request::Tally::kTakenOver) {
    mParts.mLogger.Log(observe::EventId::kRequestTakenOver);
  } else if (aTally == request::Tally::kUnknownOutcome) {
    mParts.mLogger.Log(observe::EventId::kOutcomeUnknown);
  } else if (aTally == request::Tally::kCrossedPieceDropped) {
    mParts.mLogger.Log(observe::EventId::kCrossedPieceDropped);
  }
}

void
EntryDecider::SetGauges()
{
  const request::EntryNodeStatus status = mNode.Status(mNow);
  observe::Counters& counters = mParts.mCounters;
  using observe::CounterId;
  counters.Set(CounterId::kUpstreamsKnown, status.mUpstreams.size());
  counters.Set(CounterId::kMembersKnown, status.mEpoch.mMembers.size());
  counters.Set(CounterId::kRequestsRunning, status.mRunning);
  counters.Set(CounterId::kCallersWaiting, status.mCallers);
  counters.Set(CounterId::kResponseBytesHeld, status.mHeldBytes);
  counters.Set(CounterId::kSettingsRevision, status.mInForce.Value());
  counters.Set(CounterId::kEpoch, status.mEpoch.mEpoch.Value());
  SetHostGauges(counters, mParts.mTransport, mParts.mLogger);
}

void
EntryDecider::Carry(const request::ExplainEffect& aEffect)
{
  mExplain.Add(aEffect);
}
} // namespace peridotspool::runtime
