// Sessions with entries: heartbeats, leases, pushes and epochs.

#include "control/ControlNodeState.h"
#include "control/Pushes.h"

#include <algorithm>

namespace peridotspool::control {

using membership::EntryHeartbeat;
using membership::EntryNonce;
using membership::EpochMap;
using membership::HeartbeatResponse;
using membership::Member;
using membership::MembershipStatus;
using membership::MemberState;

namespace {

/**
 * A member from which nothing was received for this long is reported to the
 * leader.
 */
constexpr Duration kSilenceReportThreshold = std::chrono::milliseconds(650);
constexpr Duration kReportPeriod = std::chrono::milliseconds(200);
constexpr Duration kExpirePeriod = std::chrono::seconds(5);
/** One heartbeat response in this many lists the control replicas. */
constexpr std::uint64_t kReplicaListInterval = 4;
/** Immediate pushes go to processes heard from within this time. */
constexpr Duration kRecentlyHeardTimeout = std::chrono::seconds(1);

const Member*
FindMember(const EpochMap& aMap, MemberId aId)
{
  const auto found =
    std::lower_bound(aMap.mMembers.begin(),
                     aMap.mMembers.end(),
                     aId,
                     [](const Member& aMember, MemberId aWanted) {
                       return aMember.mId < aWanted;
                     });
  return found != aMap.mMembers.end() && found->mId == aId ? &*found : nullptr;
}

} // namespace

void
ControlNodeState::Handle(const FromEntryEvent& aEvent)
{
  std::visit(
    [&](const auto& aMessage) {
      HandleEntryMessage(aEvent.mEnvelope.mNonce, aMessage);
    },
    aEvent.mEnvelope.mMessage);
}

void
ControlNodeState::HandleEntryMessage(EntryNonce aNonce,
                                     const EntryHeartbeat& aHeartbeat)
{
  if (!aNonce.IsSet()) {
    return;
  }
  EntrySession* session = mSessions.RecordHeartbeat(aNonce, aHeartbeat, mNow);
  if (session == nullptr) {
    return;
  }
  const HeartbeatResponse answer = HeartbeatResponseFor(aNonce, aHeartbeat);
  if (answer.mLeads || aHeartbeat.mSeeksLeader) {
    SendToEntry(aNonce, answer);
  }
  if (answer.mLeads && answer.mMembershipStatus != MembershipStatus::kRemoved) {
    PushIfBehind(aNonce, *session);
  }
}

HeartbeatResponse
ControlNodeState::HeartbeatResponseFor(EntryNonce aNonce,
                                       const EntryHeartbeat& aHeartbeat)
{
  HeartbeatResponse answer;
  answer.mSequence = aHeartbeat.mSequence;
  answer.mLeaderHint = LeaderAddress();
  // Without the lease another replica may lead and have committed newer
  // settings. Confirming the settings known here would let the entry serve
  // under outdated ones.
  if (!Leads(mNow)) {
    // Only an entry that has lost the leader uses these addresses.
    if (aHeartbeat.mSequence % kReplicaListInterval == 1) {
      answer.mControls = ReplicaAddresses();
    }
    return answer;
  }
  if (aHeartbeat.mSeeksLeader ||
      aHeartbeat.mSequence % kReplicaListInterval == 1) {
    answer.mControls = ReplicaAddresses();
    answer.mVoters = static_cast<std::uint32_t>(Replicas().VoterCount());
    answer.mRelays = RelaysFor(aNonce);
  }
  const auto& members = State().mMembership;
  const auto member = members.mNonces.find(aNonce);
  if (member != members.mNonces.end() &&
      mEpochPlanner->IsWithheld(member->second)) {
    return answer;
  }
  answer.mLeads = true;
  answer.mConfirmed = State().mSettings.mRevision;
  answer.mEpoch = members.mCurrent.mEpoch;
  ApplyMembershipStatus(aNonce, aHeartbeat, answer);
  return answer;
}

// A relay in the entry's own failure domain fails and is partitioned together
// with it. The leader has work enough; it relays only where no other replica
// is.
std::vector<Address>
ControlNodeState::RelaysFor(EntryNonce aNonce) const
{
  const EntrySession* session = mSessions.Find(aNonce);
  if (session == nullptr || !session->mProfile ||
      mSessions.All().size() < mOptions.mRelayedSessions) {
    return {};
  }
  std::vector<Address> relays;
  for (const ReplicaInfo& replica : Replicas().mReplicas) {
    if (replica.mDomain == session->mProfile->mDomain &&
        replica.mId != Self()) {
      relays.push_back(AddressOf(replica.mId).value_or(replica.mAddress));
    }
  }
  return relays;
}

void
ControlNodeState::ApplyMembershipStatus(EntryNonce aNonce,
                                        const EntryHeartbeat& aHeartbeat,
                                        HeartbeatResponse& aAnswer)
{
  const auto& members = State().mMembership;
  const auto member = members.mNonces.find(aNonce);
  if (member == members.mNonces.end()) {
    const auto& removed = members.mRemovedNonces;
    const bool over =
      aHeartbeat.mMember.IsSet() ||
      std::find(removed.begin(), removed.end(), aNonce) != removed.end();
    aAnswer.mMembershipStatus =
      over ? MembershipStatus::kRemoved : MembershipStatus::kUnknown;
    return;
  }
  const Member* info = FindMember(members.mCurrent, member->second);
  const bool draining =
    info != nullptr && info->mState == MemberState::kDraining;
  aAnswer.mMembershipStatus =
    draining ? MembershipStatus::kDraining : MembershipStatus::kActive;
  aAnswer.mMember = member->second;
  aAnswer.mLease = mOptions.mEntryLease;
  if (MemberView* view = mSessions.Member(member->second)) {
    view->mGrantedAt = mNow;
  }
}

void
ControlNodeState::SendToEntry(EntryNonce aNonce,
                              membership::ToEntryMessage aMessage)
{
  ToEntryEffect effect;
  effect.mTo = aNonce;
  effect.mMessage = std::move(aMessage);
  mEffects.emplace_back(std::move(effect));
}

void
ControlNodeState::PushIfBehind(EntryNonce aNonce, EntrySession& aSession)
{
  const Revision revision = State().mSettings.mRevision;
  const bool settingsDue =
    aSession.mPushedRevision < revision ||
    mNow - aSession.mPushedRevisionAt >= mOptions.mPushResend;
  if (aSession.mInForce < revision && settingsDue) {
    PushSettings(aNonce, aSession, aSession.mInForce);
  }
  const EpochNumber epoch = State().mMembership.mCurrent.mEpoch;
  const bool epochDue = aSession.mPushedEpoch < epoch ||
                        mNow - aSession.mPushedEpochAt >= mOptions.mPushResend;
  if (aSession.mEpoch < epoch && epochDue) {
    PushEpochs(aNonce, aSession, aSession.mEpoch);
  }
}

void
ControlNodeState::PushSettings(EntryNonce aNonce,
                               EntrySession& aSession,
                               Revision aHave)
{
  aSession.mPushedRevision = State().mSettings.mRevision;
  aSession.mPushedRevisionAt = mNow;
  SendToEntry(
    aNonce,
    MakeSettingsPush(State().mSettings, mMachine.SettingsDigest(), aHave));
}

void
ControlNodeState::PushEpochs(EntryNonce aNonce,
                             EntrySession& aSession,
                             EpochNumber aHave)
{
  aSession.mPushedEpoch = State().mMembership.mCurrent.mEpoch;
  aSession.mPushedEpochAt = mNow;
  SendToEntry(aNonce, MakeEpochPush(State().mMembership, aHave));
}

// Right after a commit, entries that are nearly up to date get the change at
// once. The others get the missing changes with their next heartbeats, spread
// over a heartbeat period, so that the whole tree isn't copied for all of them
// at the same moment.
void
ControlNodeState::PushToAll()
{
  if (!Leads(mNow)) {
    return;
  }
  constexpr std::uint64_t kNearlyUpToDate = 4;
  const Revision revision = State().mSettings.mRevision;
  const EpochNumber epoch = State().mMembership.mCurrent.mEpoch;
  for (auto& [nonce, session] : mSessions.All()) {
    if (mNow - session.mHeardAt > kRecentlyHeardTimeout) {
      continue;
    }
    const Revision settings =
      std::max(session.mInForce, session.mPushedRevision);
    if (settings.IsSet() && settings < revision &&
        settings.Value() + kNearlyUpToDate >= revision.Value()) {
      PushSettings(nonce, session, settings);
    }
    const EpochNumber known = std::max(session.mEpoch, session.mPushedEpoch);
    if (known.IsSet() && known < epoch) {
      PushEpochs(nonce, session, known);
    }
  }
}

void
ControlNodeState::HandleEntryMessage(EntryNonce aNonce,
                                     const membership::SettingsPull& aPull)
{
  EntrySession* session = mSessions.Find(aNonce);
  if (session != nullptr && aPull.mHave < State().mSettings.mRevision) {
    PushSettings(aNonce, *session, aPull.mHave);
  }
}

void
ControlNodeState::HandleEntryMessage(EntryNonce aNonce,
                                     const membership::EpochPull& aPull)
{
  EntrySession* session = mSessions.Find(aNonce);
  if (session != nullptr && aPull.mHave < State().mMembership.mCurrent.mEpoch) {
    PushEpochs(aNonce, *session, aPull.mHave);
  }
}

void
ControlNodeState::HandleEpochCommitted(const EpochMap& aBefore)
{
  const auto& members = State().mMembership;
  for (const Member& member : aBefore.mMembers) {
    if (FindMember(members.mCurrent, member.mId) == nullptr) {
      RecordRemovedEntry(member);
    }
  }
  mSessions.UpdateMembers(members.mNonces, mNow);
  if (mEpochPlanner) {
    mEpochPlanner->TakeEpoch(members.mChanges.back(), aBefore, mNow);
  }
  Notice(ControlNotice::kEpochMade,
         "epoch=" + std::to_string(members.mCurrent.mEpoch.Value()) +
           " members=" + std::to_string(members.mCurrent.mMembers.size()));
  // Completes drains that waited for this epoch or whose member is gone.
  std::erase_if(mPendingDrains, [&](const auto& aPair) {
    const Member* member = FindMember(members.mCurrent, aPair.first);
    if (member != nullptr && member->mState == MemberState::kActive) {
      return false;
    }
    for (const CallId call : aPair.second) {
      Answer(call,
             DrainResponse{ .mMember = aPair.first,
                            .mEpoch = members.mCurrent.mEpoch });
    }
    return true;
  });
}

// A removed entry that is partitioned keeps using its old settings until its
// last confirmation expires. If it were dropped at once, an edit would be
// reported in force while that entry still applies the earlier settings.
void
ControlNodeState::RecordRemovedEntry(const Member& aMember)
{
  const EntrySession* session = mSessions.SessionOf(aMember.mId);
  if (session != nullptr && session->mDone) {
    return;
  }
  const MemberView* view = mSessions.Member(aMember.mId);
  const bool granted = mEpochPlanner && view != nullptr && view->mGrantedAt;
  const TimePoint confirmed = granted ? *view->mGrantedAt : mNow;
  const double rate = 1.0 + 2.0 * mOptions.mConsensus.mClockRateBound;
  const Duration grace(static_cast<Duration::rep>(
    static_cast<double>(mOptions.mConfirmationGrace.count()) * rate));
  mRemovedEntries.push_back(RemovedEntry{
    .mName = aMember.mName,
    .mInForce = session == nullptr ? Revision() : session->mInForce,
    .mUntil = confirmed + grace });
}

void
ControlNodeState::PlanEpoch()
{
  if (mNow - mExpiredAt >= kExpirePeriod) {
    mExpiredAt = mNow;
    mSessions.Expire(mNow);
  }
  std::erase_if(mRemovedEntries, [&](const RemovedEntry& aDeparted) {
    return aDeparted.mUntil <= mNow;
  });
  if (mEpochProposed) {
    return;
  }
  auto command = mEpochPlanner->Plan(
    mSessions, State().mMembership, mConsensus->Replicas(), mNow);
  for (const MemberId member : mEpochPlanner->ExtractNewlySilent()) {
    Notice(ControlNotice::kMemberSilent,
           "member=" + std::to_string(member.Value()));
  }
  if (command) {
    mEpochProposed = Propose(std::move(*command));
  }
}

void
ControlNodeState::ReportSilence()
{
  const ReplicaId leader = mConsensus->Leader();
  if (!leader.IsSet() || leader == Self() || !Votes() ||
      mNow - mReportedAt < kReportPeriod) {
    return;
  }
  mReportedAt = mNow;
  SilenceReport report{ .mTerm = mConsensus->CurrentTerm(),
                        .mEpoch = State().mMembership.mCurrent.mEpoch,
                        .mSilent = {} };
  for (const auto& [member, view] : mSessions.Members()) {
    if (mNow - view.mHeardAt >= kSilenceReportThreshold) {
      report.mSilent.push_back(
        { .mMember = member, .mSilentFor = mNow - view.mHeardAt });
    }
  }
  if (const auto address = AddressOf(leader)) {
    SendTo(*address, leader, std::move(report));
  }
}

} // namespace peridotspool::control
