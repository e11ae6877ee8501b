#include "request/EntryNodeState.h"

#include "peridotspool/routing/SpreadTargets.h"

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
  BeginLife();
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
EntryNodeState::BeginLife()
{
  // Each life has a nonce of its own, so that messages to an earlier one, and
  // the ledger copies that it lost, are never taken for this one's.
  mNonce = membership::EntryNonce(mRandom() | 1);
  membership::ControlSessionOptions session = mOptions.mSession;
  session.mNonce = mNonce;
  mSession.emplace(std::move(session));
  mSelf = MemberId();
  mLedger.reset();
  mRequests.reset();
  mDrainStarted = false;
  mToldDone = false;
}

void
EntryNodeState::On(const FromMemberEvent& aEvent)
{
  // A message for an earlier life of this process would be acted upon by one
  // that never held what the message is about.
  if (!mSelf.IsSet() || aEvent.mTo != mSelf) {
    return;
  }
  if (const auto* message = std::get_if<ledger::Message>(&aEvent.mMessage)) {
    StepLedger(ledger::MessageEvent{ aEvent.mFrom, *message });
  } else if (const auto* relay = std::get_if<RelayMessage>(&aEvent.mMessage)) {
    StepRequests(RelayEvent{ aEvent.mFrom, *relay });
  } else if (const auto* news =
               std::get_if<routing::UpstreamAnnouncement>(&aEvent.mMessage)) {
    mRouter.Announce(*news, mNow);
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
    SpreadAnnouncement(aEvent.mAnnouncement);
  }
}

void
EntryNodeState::On(const SettingsTakenEvent& aEvent)
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
  CheckLeft();
}

void
EntryNodeState::StepSession(const membership::ControlSessionEvent& aEvent)
{
  for (const auto& effect : mSession->Step(aEvent, mNow)) {
    std::visit([this](const auto& aAny) { Carry(aAny); }, effect);
  }
}

void
EntryNodeState::Carry(const membership::ToControlEffect& aEffect)
{
  mEffects->emplace_back(
    ToControlReplicaEffect{ aEffect.mTo, aEffect.mEnvelope });
}

void
EntryNodeState::Carry(const membership::JoinedEffect& aEffect)
{
  mSelf = aEffect.mMember;
  mLedger.emplace(mSelf, mOptions.mLedger);
  mRequests.emplace(mSelf, mOptions.mRequests, mRouter);
  StepRequests(SettingsEvent{ mTree });
  mEffects->emplace_back(BecameMemberEffect{ mSelf });
  // The member list may come before the answer that gives us our id. A ledger
  // that never heard of the list answers no query of its peers: each shard that
  // this entry is in would stand still until the next epoch, unless it is told.
  if (mSession->Epoch().mEpoch.IsSet()) {
    HandOn(mSession->Epoch());
  }
}

void
EntryNodeState::Carry(const membership::RemovedEffect& /*aEffect*/)
{
  // Others have taken over what this life held. Its callers are told to attach
  // elsewhere; nothing of the old life may go on beside its successor.
  StepRequests(AbandonEvent{});
  mEffects->emplace_back(LostMembershipEffect{});
  if (mLeaving) {
    mLeft = true;
    mEffects->emplace_back(LeftEffect{});
  }
  BeginLife();
}

void
EntryNodeState::Carry(const membership::DrainEffect& /*aEffect*/)
{
  BeginLeaving();
}

void
EntryNodeState::Carry(const membership::NewSettingsEffect& aEffect)
{
  mEffects->emplace_back(
    TakeSettingsEffect{ aEffect.mRevision, aEffect.mText });
}

void
EntryNodeState::Carry(const membership::NewEpochEffect& aEffect)
{
  const membership::EpochMap& map = aEffect.mMap;
  mMembers.clear();
  for (const membership::Member& member : map.mMembers) {
    mMembers.emplace(member.mId, member);
  }
  mDirectory.SetEpoch(map);
  mEffects->emplace_back(EpochTakenEffect{ map.mEpoch, map.mMembers.size() });
  HandOn(map);
  const auto self = mMembers.find(mSelf);
  const bool draining =
    self != mMembers.end() &&
    self->second.mState == membership::MemberState::kDraining;
  if (draining && !mDrainStarted) {
    // Only now do others know that no new work may come here.
    mDrainStarted = true;
    StepRequests(DrainEvent{});
  }
}

void
EntryNodeState::HandOn(const membership::EpochMap& aMap)
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
    std::visit([this](const auto& aAny) { Carry(aAny); }, effect);
  }
}

void
EntryNodeState::Carry(const ledger::SendEffect& aEffect)
{
  SendToMember(aEffect.mTo, aEffect.mMessage);
}

void
EntryNodeState::Carry(const ledger::AnsweredEffect& aEffect)
{
  StepRequests(LedgerAnsweredEvent{ aEffect.mCall, aEffect.mAnswer });
}

void
EntryNodeState::Carry(const ledger::OrphanedEffect& aEffect)
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
    std::visit([this](const auto& aAny) { Carry(aAny); }, effect);
  }
}

void
EntryNodeState::Carry(const ProposeEffect& aEffect)
{
  StepLedger(
    ledger::ProposeEvent{ aEffect.mCall, aEffect.mKey, aEffect.mOperation });
}

void
EntryNodeState::Carry(const RelayEffect& aEffect)
{
  SendToMember(aEffect.mTo, aEffect.mMessage);
}

template<typename Other>
void
EntryNodeState::Carry(const Other& aEffect)
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
  mLeaveBy = mNow + mOptions.mLeaveLimit;
  if (mSelf.IsSet()) {
    mDirectory.MarkLeaving(mSelf);
  }
}

void
EntryNodeState::CheckLeft()
{
  if (!mLeaving || mLeft) {
    return;
  }
  // When every entry leaves, as in a planned stop of the whole system, nobody
  // is left to take the ledger's copies: only the work is waited for.
  const bool handedOver =
    mDrainStarted && mRequests->Running() == 0 && mRequests->Callers() == 0 &&
    (mLedger->Counters().mHeldShards == 0 || !AnyActiveMember());
  if (handedOver && !mToldDone) {
    mToldDone = true;
    StepSession(membership::HandoverCompleteEvent{});
  }
  const bool neverJoined = !mSelf.IsSet();
  if (!mLeft && (neverJoined || mNow >= mLeaveBy)) {
    mLeft = true;
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
EntryNodeState::SpreadAnnouncement(
  const routing::UpstreamAnnouncement& aAnnouncement)
{
  std::vector<MemberId> members;
  for (const auto& [id, member] : mMembers) {
    members.push_back(id);
  }
  // A report to every entry would grow with entries times upstreams.
  for (const MemberId target :
       routing::SpreadTargets(aAnnouncement.mName, members)) {
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
