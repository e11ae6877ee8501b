#include "request/EntryNodeState.h"

#include "peridotspool/routing/AnnouncementTargets.h"

#include <algorithm>
#include <utility>

namespace peridotspool::request {

EntryNodeState::EntryNodeState(EntryNodeOptions aOptions, TimePoint aNow)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mRandomSeed)
  , mRouter(mOptions.mRouter)
  , mDirectory(mOptions.mDirectory)
  , mNow(aNow)
{
  StartIncarnation();
}

EntryNodeEffects
EntryNodeState::Step(const EntryNodeEvent& aEvent, TimePoint aNow)
{
  EntryNodeEffects effects;
  mNow = aNow;
  mEffects = &effects;
  std::visit([this](const auto& aAny) { On(aAny); }, aEvent);
  mEffects = nullptr;
  return effects;
}

void
EntryNodeState::StartIncarnation()
{
  // Each incarnation has its own nonce, so that messages to an earlier one, and
  // the ledger copies which that one lost, are never attributed to this one.
  mNonce = membership::EntryNonce(mRandom() | 1);
  membership::ControlSessionOptions session = mOptions.mSession;
  session.mNonce = mNonce;
  mSession.emplace(std::move(session));
  mSelf = MemberId();
  mLedger.reset();
  mRequests.reset();
  mDrainStarted = false;
  mDepartureReported = false;
}

void
EntryNodeState::On(const FromMemberEvent& aEvent)
{
  // Ignores messages to an earlier incarnation of this process: this one never
  // held the state that they refer to.
  if (!mSelf.IsSet() || aEvent.mTo != mSelf) {
    return;
  }
  if (const auto* message = std::get_if<ledger::Message>(&aEvent.mMessage)) {
    StepLedger(ledger::MessageEvent{ aEvent.mFrom, *message });
  } else if (const auto* relay = std::get_if<RelayMessage>(&aEvent.mMessage)) {
    StepRequests(RelayEvent{ aEvent.mFrom, *relay });
  } else if (const auto* announcement =
               std::get_if<routing::UpstreamAnnouncement>(&aEvent.mMessage)) {
    mRouter.Announce(*announcement, mNow);
  }
}

void
EntryNodeState::On(const FromControlReplicaEvent& aEvent)
{
  if (aEvent.mTo == mNonce) {
    StepSession(membership::FromControlEvent{ aEvent.mMessage });
  }
}

void
EntryNodeState::On(const CallerEvent& aEvent)
{
  std::visit([this](const auto& aAny) { OnCaller(aAny); }, aEvent.mEvent);
}

void
EntryNodeState::On(const UpstreamEvent& aEvent)
{
  StepRequests(aEvent);
}

void
EntryNodeState::On(const AnnouncedEvent& aEvent)
{
  if (mRouter.Announce(aEvent.mAnnouncement, mNow)) {
    ForwardAnnouncement(aEvent.mAnnouncement);
  }
}

void
EntryNodeState::On(const SettingsAppliedEvent& aEvent)
{
  mTree = aEvent.mTree;
  StepRequests(SettingsEvent{ mTree });
  StepSession(membership::SettingsInForceEvent{ aEvent.mRevision });
}

void
EntryNodeState::On(const UnreachableEvent& aEvent)
{
  std::set<MemberId> suspects;
  for (const auto& [id, member] : mMembers) {
    const auto& peers = aEvent.mPeers;
    if (std::find(peers.begin(), peers.end(), member.mPeerAddress) !=
        peers.end()) {
      suspects.insert(id);
    }
  }
  mDirectory.SetSuspects(suspects);
  StepSession(
    membership::SuspectsEvent{ { suspects.begin(), suspects.end() } });
}

void
EntryNodeState::On(const LeaveNodeEvent& /*aEvent*/)
{
  if (!mLeaving) {
    BeginLeaving();
    StepSession(membership::LeaveEvent{});
  }
}

void
EntryNodeState::On(const TickEvent& aEvent)
{
  mRouter.Tick(mNow);
  StepSession(membership::SessionTickEvent{});
  StepLedger(ledger::TickEvent{});
  StepRequests(aEvent);
  CheckDeparture();
}

void
EntryNodeState::StepSession(const membership::ControlSessionEvent& aEvent)
{
  for (const auto& effect : mSession->Step(aEvent, mNow)) {
    std::visit([this](const auto& aAny) { Perform(aAny); }, effect);
  }
}

void
EntryNodeState::Perform(const membership::ToControlEffect& aEffect)
{
  mEffects->emplace_back(
    ToControlReplicaEffect{ aEffect.mTo, aEffect.mEnvelope, {} });
}

void
EntryNodeState::Perform(const membership::ToRelayEffect& aEffect)
{
  mEffects->emplace_back(ToControlReplicaEffect{
    aEffect.mRelay, aEffect.mEnvelope, aEffect.mScope });
}

void
EntryNodeState::Perform(const membership::JoinedEffect& aEffect)
{
  mSelf = aEffect.mMember;
  mLedger.emplace(mSelf, mOptions.mLedger);
  mRequests.emplace(mSelf, mOptions.mRequests, mRouter);
  StepRequests(SettingsEvent{ mTree });
  mEffects->emplace_back(BecameMemberEffect{ mSelf });
  // The member list may arrive before the response with this entry's member ID.
  // A ledger without the list answers no query of its peers, so every shard
  // with this entry as a replica would stall until the next epoch.
  if (mSession->Epoch().mEpoch.IsSet()) {
    DistributeMembers(mSession->Epoch());
  }
}

void
EntryNodeState::Perform(const membership::RemovedEffect& /*aEffect*/)
{
  // Other entries have taken over the state of this incarnation. Its callers
  // must attach elsewhere, and none of its requests may continue here while its
  // successor runs them.
  StepRequests(AbandonEvent{});
  mEffects->emplace_back(LostMembershipEffect{});
  if (mLeaving) {
    mDepartureComplete = true;
    mEffects->emplace_back(LeftEffect{});
  }
  StartIncarnation();
}

void
EntryNodeState::Perform(const membership::DrainEffect& /*aEffect*/)
{
  BeginLeaving();
}

void
EntryNodeState::Perform(const membership::NewSettingsEffect& aEffect)
{
  mEffects->emplace_back(
    ApplySettingsEffect{ aEffect.mRevision, aEffect.mText });
}

void
EntryNodeState::Perform(const membership::NewEpochEffect& aEffect)
{
  const membership::EpochMap& map = aEffect.mMap;
  mMembers.clear();
  for (const membership::Member& member : map.mMembers) {
    mMembers.emplace(member.mId, member);
  }
  mDirectory.SetEpoch(map);
  mEffects->emplace_back(EpochAdoptedEffect{ map.mEpoch, map.mMembers.size() });
  DistributeMembers(map);
  const auto self = mMembers.find(mSelf);
  const bool draining =
    self != mMembers.end() &&
    self->second.mState == membership::MemberState::kDraining;
  if (draining && !mDrainStarted) {
    // The handover starts only now because the other entries learn from this
    // epoch that this entry accepts no new requests.
    mDrainStarted = true;
    StepRequests(DrainEvent{});
  }
}

void
EntryNodeState::DistributeMembers(const membership::EpochMap& aMap)
{
  StepLedger(ledger::EpochChangedEvent{ aMap });
  StepRequests(MembersEvent{ aMap });
}

void
EntryNodeState::StepLedger(const ledger::Event& aEvent)
{
  if (!mLedger) {
    return;
  }
  for (const auto& effect : mLedger->Step(aEvent, mNow)) {
    std::visit([this](const auto& aAny) { Perform(aAny); }, effect);
  }
}

void
EntryNodeState::Perform(const ledger::SendEffect& aEffect)
{
  SendToMember(aEffect.mTo, aEffect.mMessage);
}

void
EntryNodeState::Perform(const ledger::AnsweredEffect& aEffect)
{
  StepRequests(LedgerAnsweredEvent{ aEffect.mCall, aEffect.mAnswer });
}

void
EntryNodeState::Perform(const ledger::OrphanedEffect& aEffect)
{
  StepRequests(OrphanedEvent{ aEffect.mRecord, aEffect.mRemaining });
}

void
EntryNodeState::StepRequests(const Event& aEvent)
{
  if (!mRequests) {
    return;
  }
  for (const auto& effect : mRequests->Step(aEvent, mNow)) {
    std::visit([this](const auto& aAny) { Perform(aAny); }, effect);
  }
}

void
EntryNodeState::Perform(const ProposeEffect& aEffect)
{
  StepLedger(
    ledger::ProposeEvent{ aEffect.mCall, aEffect.mKey, aEffect.mOperation });
}

void
EntryNodeState::Perform(const RelayEffect& aEffect)
{
  SendToMember(aEffect.mTo, aEffect.mMessage);
}

template<typename Other>
void
EntryNodeState::Perform(const Other& aEffect)
{
  mEffects->emplace_back(aEffect);
}

void
EntryNodeState::BeginLeaving()
{
  if (mLeaving) {
    return;
  }
  mLeaving = true;
  mLeaveDeadline = mNow + mOptions.mMaxLeaveTime;
  if (mSelf.IsSet()) {
    mDirectory.MarkLeaving(mSelf);
  }
}

void
EntryNodeState::CheckDeparture()
{
  if (!mLeaving || mDepartureComplete) {
    return;
  }
  // When every entry leaves, as in a planned stop of the system, no entry is
  // left to receive the ledger's copies; only requests and callers are waited
  // for.
  const bool handedOver =
    mDrainStarted && mRequests->Running() == 0 && mRequests->Callers() == 0 &&
    (mLedger->Counters().mHeldShards == 0 || !AnyActiveMember());
  if (handedOver && !mDepartureReported) {
    mDepartureReported = true;
    StepSession(membership::HandoverCompleteEvent{});
  }
  const bool neverJoined = !mSelf.IsSet();
  if (!mDepartureComplete && (neverJoined || mNow >= mLeaveDeadline)) {
    mDepartureComplete = true;
    mEffects->emplace_back(LeftEffect{});
  }
}

bool
EntryNodeState::AnyActiveMember() const
{
  return std::any_of(mMembers.begin(), mMembers.end(), [](const auto& aPair) {
    return aPair.second.mState == membership::MemberState::kActive;
  });
}

void
EntryNodeState::ForwardAnnouncement(
  const routing::UpstreamAnnouncement& aAnnouncement)
{
  std::vector<MemberId> members;
  for (const auto& [id, member] : mMembers) {
    members.push_back(id);
  }
  // Reporting to every entry would cost messages in proportion to the number of
  // entries times the number of upstreams.
  for (const MemberId target :
       routing::AnnouncementTargets(aAnnouncement.mName, members)) {
    if (target != mSelf) {
      SendToMember(target, aAnnouncement);
    }
  }
}

void
EntryNodeState::SendToMember(MemberId aTo, FromMemberMessage aMessage)
{
  const auto member = mMembers.find(aTo);
  if (member == mMembers.end()) {
    return;
  }
  mEffects->emplace_back(ToMemberEffect{
    member->second.mPeerAddress, mSelf, aTo, std::move(aMessage) });
}

void
EntryNodeState::ReplyTo(CallId aExchange, Reply aReply)
{
  mEffects->emplace_back(ReplyEffect{ aExchange, std::move(aReply) });
}

membership::DirectoryResponse
EntryNodeState::Directory(const Region& aRegion)
{
  return mDirectory.MakeResponse(aRegion);
}

EntryNodeStatus
EntryNodeState::Status(TimePoint aNow) const
{
  return EntryNodeStatus{
    .mMember = mSelf,
    .mServing = mSession->MayServe(aNow),
    .mLeaving = mLeaving,
    .mInForce = mSession->InForceRevision(),
    .mEpoch = mSession->Epoch(),
    .mRunning = mRequests ? mRequests->Running() : 0,
    .mCallers = mRequests ? mRequests->Callers() : 0,
    .mHeldBytes = mRequests ? mRequests->HeldBytes() : 0,
    .mUpstreams = mRouter.Upstreams(aNow),
  };
}

EntryName
EntryNodeState::NameOf(MemberId aMember) const
{
  const auto member = mMembers.find(aMember);
  return member == mMembers.end() ? EntryName() : member->second.mName;
}

} // namespace peridotspool::request
