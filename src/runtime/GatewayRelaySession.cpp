// What an entry hears from control, and what it does about it.

#include "runtime/GatewayRelay.h"

#include "peridotspool/base/Overloaded.h"
#include "peridotspool/base/PackedText.h"
#include "peridotspool/runtime/SystemClock.h"
#include "peridotspool/wire/Codec.h"
#include "runtime/HostParts.h"
#include "runtime/PeerTally.h"

#include <algorithm>
#include <utility>

namespace peridotspool::runtime {

namespace {

namespace net = http::net;
using observe::EventId;

/** Entries that share a budget beyond those that are known: ones that are
 * added, and ones that a cut hides. */
constexpr std::size_t kUnknownEntries = 3;

/** Handles what entries tell each other about the limits and rests that
 * upstreams state. */
void
TakeUpstreamStatement(gateway::GatewayCore& aCore,
                      const Address& aFrom,
                      const gateway::PeerMessage& aMessage)
{
  std::visit(Overloaded{ [&](const limits::LimitReport& aReport) {
                          aCore.HandleLimitReport(aReport);
                        },
                         [&](const limits::SendPermitRequest& aRequest) {
                           aCore.HandleSendPermitRequest(aFrom, aRequest);
                         },
                         [&](const limits::SendPermitResponse& aResponse) {
                           aCore.HandleSendPermitResponse(aFrom, aResponse);
                         },
                         [&](const limits::BrittleState& aState) {
                           aCore.HandleBrittleReport(aState);
                         },
                         [&](const limits::SendPermitReturn& aReturn) {
                           aCore.HandleSendPermitReturn(aFrom, aReturn);
                         },
                         [&](const limits::WithdrawalReport& aReport) {
                           aCore.HandleWithdrawalReport(aReport);
                         },
                         [&](const routing::SlotRequest& aRequest) {
                           aCore.HandleSlotRequest(aFrom, aRequest);
                         },
                         [&](const routing::SlotResponse& aResponse) {
                           aCore.HandleSlotResponse(aFrom, aResponse);
                         },
                         [&](const routing::SlotReturn& aReturn) {
                           aCore.HandleSlotReturn(aFrom, aReturn);
                         },
                         [](const auto& /*aOther*/) {} },
             aMessage);
}

} // namespace

// A process that lost its membership begins a new session; what it knows of
// settings and upstreams stays, so that it never goes back to older ones.
void
GatewayRelay::StartSession()
{
  mCore->mTenure.SetSelf(mSettings.mListen.mPeer);
  mSession.emplace(membership::ControlSessionOptions{
    .mNonce = membership::EntryNonce(RandomNumber()),
    .mProfile = { .mName = mSettings.mName,
                  .mRegion = mSettings.mRegion,
                  .mDomain = mSettings.mDomain,
                  .mPeerAddress = mSettings.mListen.mPeer,
                  .mCallerAddress = *mSettings.mListen.mCallers },
    .mControls = mSettings.mSeeds });
}

void
GatewayRelay::OnFrame(const std::string& aFrame)
{
  LastReason reason;
  auto envelope = wire::Decode<wire::PeerEnvelope>(aFrame, reason);
  if (!envelope || !mInbox.Push({ .mEnvelope = std::move(*envelope),
                                  .mReceivedAt = ReadClock() })) {
    return;
  }
  net::post(mIo, [this] {
    if (const auto frame = mInbox.Pop()) {
      TakeFrame(*frame);
    }
  });
}

// Requests, announcements and what entries tell each other may be more than
// this thread can do for a while. New settings must not wait for them.
void
GatewayRelay::RunWork()
{
  while (mIo.run_one() > 0) {
    while (const auto frame = mInbox.PopSession()) {
      TakeFrame(*frame);
    }
  }
}

void
GatewayRelay::TakeFrame(const ReceivedFrame& aFrame)
{
  const wire::PeerEnvelope& envelope = aFrame.mEnvelope;
  mFrameReceivedAt = aFrame.mReceivedAt;
  if (const auto* entry =
        std::get_if<wire::ToEntryEnvelope>(&envelope.mPayload)) {
    NoteLeader(envelope.mFrom, entry->mMessage);
    Step(membership::FromControlEvent{ .mMessage = entry->mMessage,
                                       .mTo = entry->mTo });
  } else if (const auto* registry =
               std::get_if<membership::RegistryMessage>(&envelope.mPayload)) {
    if (const auto* push = std::get_if<membership::RegistryPush>(registry)) {
      TakePush(envelope.mFrom, *push);
    }
  } else if (const auto* shared =
               std::get_if<gateway::PeerMessage>(&envelope.mPayload)) {
    TakeShared(envelope.mFrom, *shared);
  }
}

void
GatewayRelay::TakePush(const Address& aFrom,
                       const membership::RegistryPush& aPush)
{
  const TimePoint now = ReadClock();
  mFeed->Take(aFrom, aPush, now);
  const std::vector<Address>& controls = mSession->Controls();
  const auto heard =
    std::count_if(controls.begin(), controls.end(), [&](const Address& aOne) {
      return mFeed->Knows(aOne);
    });
  mCore->mStartupPolicy.RecordUpdates(
    static_cast<std::size_t>(heard), controls.size(), now);
  mCore->ResumeStartupWaiters();
  SendPull(aFrom);
}

void
GatewayRelay::NoteLeader(const Address& aFrom,
                         const membership::ToEntryMessage& aMessage)
{
  const auto* answer = std::get_if<membership::HeartbeatResponse>(&aMessage);
  if (answer == nullptr || !answer->mLeads) {
    return;
  }
  mLeaderHeardAt = ReadClock();
  if (mLeader != aFrom) {
    MeetLeader(aFrom);
  }
}

// It may know nothing of what was told to the one before, this process may not
// know yet what it is to refuse, and it gives little of the limits until
// entries have confirmed its leases.
void
GatewayRelay::MeetLeader(const Address& aLeader)
{
  mLogger->Log(EventId::kControlRegained, { { "leader", ToText(aLeader) } });
  mLeader = aLeader;
  mLeaderHeardAt = ReadClock();
  mCore->mCrashReporter.OnNewLeader();
  for (const auto& answer :
       mCore->mQuarantineGate.RememberedAnswers(mLeaderHeardAt)) {
    mCore->mSendToLeader(answer);
  }
  if (auto again = mCore->mQuota.PendingRequest(mLeaderHeardAt);
      !again.mItems.empty()) {
    mCore->mSendToLeader(std::move(again));
  }
  mReportedAt = TimePoint();
  ReportUsage(mLeaderHeardAt);
}

void
GatewayRelay::TakeShared(const Address& aFrom,
                         const gateway::PeerMessage& aMessage)
{
  const TimePoint now = ReadClock();
  mCore->mOrigins.HandlePeerMessage(aFrom, aMessage);
  TakeUpstreamStatement(*mCore, aFrom, aMessage);
  std::visit(Overloaded{ [&](const gateway::QuotaResponse& aGrant) {
                          TakeQuotaResponse(aGrant, now);
                        },
                         [&](const gateway::QuotaLease& aLease) {
                           if (mCore->mQuota.HandleLease(aLease, now)) {
                             MeetLeader(aFrom);
                           }
                         },
                         [&](const gateway::MedianTime& aTime) {
                           mCore->mUsage.SetMedianTime(aTime.mMicros, now);
                         },
                         [&](const gateway::LoadQuery& aAsk) {
                           mCore->HandleLoadQuery(aFrom, aAsk);
                         },
                         [&](const gateway::LoadResponse& aTold) {
                           mCore->HandleLoadResponse(aTold);
                         },
                         [&](const routing::CrashReportAck& aTaken) {
                           mCore->mCrashReporter.OnAck(aTaken);
                         },
                         [&](const routing::PermitResponse& aTurn) {
                           mCore->HandlePermitResponse(aTurn);
                         },
                         [&](const routing::QuarantineUpdate& aTold) {
                           mCore->HandleQuarantineUpdate(aTold);
                         },
                         [&](const rollout::RolloutUpdate& aUpdate) {
                           mCore->HandleRolloutUpdate(aUpdate);
                         },
                         [&](const gateway::SendStartedReport& aOne) {
                           mCore->HandleSendStarted(aOne);
                         },
                         [&](const gateway::PrefillDoneReport& aOne) {
                           mCore->mCoordinator.Handle(aOne, now);
                         },
                         [&](const gateway::SendEndedReport& aOne) {
                           mCore->HandleSendEnded(aOne);
                         }, // What else there is goes to the leader.
                         [](const auto& /*aOther*/) {} },
             aMessage);
}

// A request whose latest start has passed is refused first, so that a grant
// that comes too late is returned.
void
GatewayRelay::TakeQuotaResponse(const gateway::QuotaResponse& aResponse,
                                TimePoint aNow)
{
  if (mCore->mScheduling.mMaxQuotaWait > Duration(0)) {
    Decide(mCore->mQuota.Tick(aNow));
  }
  Decide(mCore->mQuota.HandleResponse(aResponse));
}

void
GatewayRelay::Decide(
  const std::vector<gateway::DeferredQuotaDecision>& aDecided)
{
  for (const gateway::DeferredQuotaDecision& one : aDecided) {
    const auto waiting = mCore->mQuotaWaiters.find(one.mTag);
    if (waiting != mCore->mQuotaWaiters.end()) {
      const auto call = std::move(waiting->second);
      mCore->mQuotaWaiters.erase(waiting);
      call(one);
    }
  }
}

void
GatewayRelay::SendPull(const Address& aTo)
{
  SendPeer(aTo, membership::RegistryMessage(mFeed->PullFor(aTo)));
}

void
GatewayRelay::SendPeer(const Address& aTo, wire::PeerPayload aPayload)
{
  const wire::PeerEnvelope envelope{ .mFrom = mSettings.mListen.mPeer,
                                     .mPayload = std::move(aPayload) };
  std::string frame = wire::Encode(envelope);
  CountSent(mCounters, envelope.mPayload, frame.size());
  mTransport->Send(aTo, std::move(frame));
}

void
GatewayRelay::Step(const membership::ControlSessionEvent& aEvent)
{
  for (const auto& effect : mSession->Step(aEvent, ReadClock())) {
    std::visit([this](const auto& aAny) { Carry(aAny); }, effect);
  }
  mCore->mSettingsConfirmation.Record(mSession->SettingsConfirmedAt());
  mCore->mTenure.SetConfirmedAt(mSession->EpochConfirmedAt());
  mCore->mContact.RecordConfirmation(mSession->EpochConfirmedAt());
}

void
GatewayRelay::Carry(const membership::ToControlEffect& aEffect)
{
  SendPeer(aEffect.mTo, aEffect.mEnvelope);
}

void
GatewayRelay::Carry(const membership::ToRelayEffect& aEffect)
{
  SendPeer(aEffect.mRelay,
           control::RelayRequest{ .mScope = aEffect.mScope,
                                  .mPayload = aEffect.mEnvelope });
}

void
GatewayRelay::Carry(const membership::JoinedEffect& aEffect)
{
  mLogger->Log(EventId::kEntryJoined, { { "member", aEffect.mMember } });
}

void
GatewayRelay::Carry(const membership::RemovedEffect& /*aEffect*/)
{
  mLogger->Log(EventId::kEntryLeft, { { "stopping", mCore->mStopping } });
  if (!mCore->mStopping) {
    net::post(mIo, [this] { StartSession(); });
  }
}

void
GatewayRelay::Carry(const membership::DrainEffect& /*aEffect*/)
{
  mLogger->Log(EventId::kEntryDraining);
}

void
GatewayRelay::Carry(const membership::NewSettingsEffect& aEffect)
{
  LastReason reason;
  const auto text = UnpackText(aEffect.mText);
  auto table = text ? mDialect.mReadDocument(*text, reason) : std::nullopt;
  if (!table) {
    mLogger->Log(EventId::kSettingsRefused, { { "reason", reason.Text() } });
    return;
  }
  if (!mCore->mTable || table->Version() >= mCore->mTable->Version()) {
    mCore->mTable =
      std::make_shared<const gateway::RouteTable>(std::move(*table));
    mCounters.Set(observe::CounterId::kSettingsRevision,
                  aEffect.mRevision.Value());
    mLogger->Log(EventId::kSettingsTaken,
                 { { "revision", aEffect.mRevision },
                   { "version", mCore->mTable->Version() },
                   { "routes", mCore->mTable->Source().mRoutes.size() },
                   { "waited_ms", ReadClock() - mFrameReceivedAt } });
  }
  mReady = !mCore->mStopping;
  mCore->ResumeStartupWaiters();
  const Revision revision = aEffect.mRevision;
  net::post(mIo, [this, revision] {
    Step(membership::SettingsInForceEvent{ revision });
  });
}

void
GatewayRelay::Carry(const membership::NewEpochEffect& aEffect)
{
  const std::size_t members = aEffect.mMap.mMembers.size();
  // One that is leaving hands its accounts over while it still serves.
  std::vector<gateway::Coordinator> keepers;
  std::vector<streams::Replica> replicas;
  for (const membership::Member& member : aEffect.mMap.mMembers) {
    if (member.mState == membership::MemberState::kActive) {
      keepers.push_back(
        { .mAddress = member.mPeerAddress, .mDomain = member.mDomain });
      replicas.push_back({ .mMember = member.mId,
                           .mAddress = member.mPeerAddress,
                           .mRegion = member.mRegion,
                           .mDomain = member.mDomain });
    }
  }
  mCore->mOrigins.SetMembers(replicas);
  std::vector<gateway::Coordinator> peers = keepers;
  std::erase_if(peers, [this](const gateway::Coordinator& aOne) {
    return aOne.mAddress == mSettings.mListen.mPeer;
  });
  mCore->SetTunnelPeers(peers, mSettings.mDomain);
  mCore->mCoordinators.Set(std::move(keepers));
  mCore->mTenure.ApplyEpoch(
    aEffect.mMap.mEpoch, mCore->mCoordinators, ReadClock());
  mCore->mRetryBudget.SetEntryCount(members + kUnknownEntries);
  mCounters.Set(observe::CounterId::kMembersKnown, members);
  mLogger->Log(EventId::kEpochChanged,
               { { "epoch", aEffect.mMap.mEpoch }, { "members", members } });
}

} // namespace peridotspool::runtime
