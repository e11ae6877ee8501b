#include "control/ControlNodeState.h"

#include "control/EncodedSize.h"
#include "peridotspool/base/Overloaded.h"

#include <algorithm>

namespace peridotspool::control {

namespace {

/**
 * Elections finish within this time, and entries drop a replica that is silent
 * for longer.
 */
constexpr Duration kConnectedTimeout = std::chrono::milliseconds(2000);

MachineState
StateOf(const RestoredState& aState)
{
  return aState.mSnapshot ? aState.mSnapshot->mState : MachineState{};
}

} // namespace

ControlNodeState::ControlNodeState(ControlOptions aOptions,
                                   RestoredState aState,
                                   TimePoint aNow)
  : mOptions(std::move(aOptions))
  , mNow(aNow)
  , mSeeds(mOptions.mSeeds)
  , mMachine(mOptions.mStateMachine, StateOf(aState))
  , mSessions(mOptions.mMaxSessions)
{
  if (aState.mIdentity) {
    StartConsensus(std::move(aState), SyncToken());
  }
}

ControlEffects
ControlNodeState::Step(const ControlEvent& aEvent, TimePoint aNow)
{
  mNow = std::max(mNow, aNow);
  std::visit([this](const auto& aOne) { Handle(aOne); }, aEvent);
  NoteRole();
  return std::exchange(mEffects, {});
}

bool
ControlNodeState::Leads(TimePoint aNow) const
{
  return mConsensus && mConsensus->LeaseHolds(aNow);
}

bool
ControlNodeState::IsConnected(TimePoint aNow) const
{
  return mConsensus && mConsensus->HeardLeaderWithin(kConnectedTimeout, aNow);
}

const ReplicaSet&
ControlNodeState::Replicas() const
{
  static const ReplicaSet sNone;
  return mConsensus ? mConsensus->Replicas() : sNone;
}

ReplicaId
ControlNodeState::Self() const
{
  return mIdentity ? mIdentity->mReplica : ReplicaId();
}

void
ControlNodeState::Handle(const FromReplicaEvent& aEvent)
{
  const ReplicaEnvelope& envelope = aEvent.mEnvelope;
  if (const auto* join = std::get_if<JoinRequest>(&envelope.mMessage)) {
    HandleJoinRequest(envelope.mReplyTo, *join);
    return;
  }
  if (const auto* reply = std::get_if<JoinReply>(&envelope.mMessage)) {
    HandleJoinReply(envelope.mSystem, *reply);
    return;
  }
  if (std::holds_alternative<RemovedNotice>(envelope.mMessage)) {
    HandleRemovedNotice(envelope);
    return;
  }
  // A message of another system, or for an identity whose disk was lost, must
  // not count for this replica: it never made the promises of that identity.
  if (!mConsensus) {
    RecordReplicaAddress(envelope.mReplyTo);
    return;
  }
  if (envelope.mSystem != mIdentity->mSystem ||
      envelope.mTo != mIdentity->mReplica) {
    return;
  }
  if (NotifyIfRemoved(envelope)) {
    return;
  }
  mLearnedAddresses[envelope.mFrom] = envelope.mReplyTo;
  if (const auto* report = std::get_if<SilenceReport>(&envelope.mMessage)) {
    if (mEpochPlanner && report->mTerm == mConsensus->CurrentTerm()) {
      mEpochPlanner->HandleSilenceReport(envelope.mFrom, *report, mNow);
    }
    return;
  }
  LogVoteReceived(envelope.mFrom, envelope.mMessage);
  RunConsensus(ReplicaMessageEvent{ envelope.mFrom, envelope.mMessage });
}

void
ControlNodeState::Handle(const SyncedEvent& aEvent)
{
  if (mNewIdentity && aEvent.mToken >= mNewIdentity->mToken) {
    RestoredState state;
    state.mIdentity = mNewIdentity->mIdentity;
    mMachine = StateMachine(mOptions.mStateMachine, MachineState{});
    mNewIdentity.reset();
    StartConsensus(std::move(state), aEvent.mToken);
    return;
  }
  if (mConsensus) {
    RunConsensus(aEvent);
  }
}

void
ControlNodeState::Handle(const TickEvent& aEvent)
{
  constexpr Duration kPlanPeriod = std::chrono::milliseconds(50);
  if (!mConsensus) {
    RequestIdentity();
    return;
  }
  RunConsensus(aEvent);
  if (mNow - mPlannedAt < kPlanPeriod) {
    return;
  }
  mPlannedAt = mNow;
  ReportSilence();
  if (Leads(mNow)) {
    PlanReplicas();
    PlanEpoch();
    CompleteInForceRequests();
  }
}

void
ControlNodeState::RunConsensus(const ConsensusEvent& aEvent)
{
  ConsensusEffects effects = mConsensus->Step(aEvent, mNow);
  for (ConsensusEffect& effect : effects) {
    std::visit([this](auto& aOne) { HandleEffect(std::move(aOne)); }, effect);
  }
  CompactIfDue();
}

void
ControlNodeState::HandleEffect(SendReplicaEffect aEffect)
{
  LogVoteSent(aEffect);
  if (const auto address = AddressOf(aEffect.mTo)) {
    SendTo(*address, aEffect.mTo, std::move(aEffect.mMessage));
  }
}

void
ControlNodeState::HandleEffect(PersistEffect aEffect)
{
  LogVoteSaved(aEffect);
  mEffects.emplace_back(std::move(aEffect));
}

void
ControlNodeState::HandleEffect(const CommittedEffect& aEffect)
{
  for (const LogEntry& entry : aEffect.mEntries) {
    ApplyEntry(entry);
  }
  PushToAll();
}

void
ControlNodeState::HandleEffect(const InstalledEffect& aEffect)
{
  mMachine = StateMachine(mOptions.mStateMachine, aEffect.mSnapshot.mState);
  mApplied = aEffect.mSnapshot.mIndex;
  mCompactedAt = mApplied;
  mAppliedBytes = 0;
  mSessions.UpdateMembers(State().mMembership.mNonces, mNow);
  Notice(ControlNotice::kSnapshotInstalled,
         "index=" + std::to_string(mApplied.Value()));
}

void
ControlNodeState::ApplyEntry(const LogEntry& aEntry)
{
  const bool membership =
    std::holds_alternative<MembershipCommand>(aEntry.mCommand);
  const membership::EpochMap before =
    membership ? State().mMembership.mCurrent : membership::EpochMap{};
  const Revision revision = State().mSettings.mRevision;
  const ApplyResult result = mMachine.Apply(aEntry.mCommand);
  mApplied = aEntry.mIndex;
  mAppliedBytes += EncodedSize(aEntry);
  if (membership && State().mMembership.mCurrent.mEpoch != before.mEpoch) {
    HandleEpochCommitted(before);
  }
  if (State().mSettings.mRevision != revision) {
    const SettingsChange& change = State().mSettings.mHistory.back();
    Notice(ControlNotice::kSettingsCommitted,
           "revision=" + std::to_string(change.mRevision.Value()) +
             " edit=" + change.mEdit.Value() + " author=" + change.mAuthor);
  }
  if (mEpochProposed && *mEpochProposed <= aEntry.mIndex) {
    mEpochProposed.reset();
  }
  if (const auto* change = std::get_if<ReplicaSetCommand>(&aEntry.mCommand)) {
    Notice(ControlNotice::kReplicaSetChanged,
           "voters=" + std::to_string(change->mSet.VoterCount()) +
             " replicas=" + std::to_string(change->mSet.mReplicas.size()));
  }
  FinishCall(aEntry, result);
}

void
ControlNodeState::FinishCall(const LogEntry& aEntry, const ApplyResult& aResult)
{
  const auto found = mPendingCalls.find(aEntry.mIndex);
  if (found == mPendingCalls.end()) {
    return;
  }
  const PendingCall pending = found->second;
  mPendingCalls.erase(found);
  // Another leader's entry has this index: the proposal may or may not be in
  // the log elsewhere. Only a resend determines the outcome.
  if (pending.mTerm != aEntry.mTerm) {
    Answer(pending.mCall, UncertainResponse{ LeaderAddress() });
    return;
  }
  std::visit(
    Overloaded{
      [&](const EditResponse& aAnswer) { Answer(pending.mCall, aAnswer); },
      [&](FencingNumber aNumber) {
        Answer(pending.mCall, FencingResponse{ aNumber });
      },
      [&](DocumentApplied aApplied) {
        Answer(pending.mCall,
               DocumentResponse{ .mNewest = aApplied.mNewest,
                                 .mRevision = State().mSettings.mRevision });
      },
      [&](QuarantineApplied) { Answer(pending.mCall, Quarantined()); },
      [&](const RolloutOrdered& aOrdered) {
        Answer(pending.mCall,
               RolloutOrderResponse{ aOrdered.mVerdict, aOrdered.mLatest });
      },
      [&](const RolloutChanged& aChanged) {
        Answer(pending.mCall, Rollouts(aChanged.mService));
      },
      [&](const auto&) {
        Answer(pending.mCall, RefusedResponse{ "nothing was changed" });
      },
    },
    aResult);
}

void
ControlNodeState::CompactIfDue()
{
  if (mApplied.Value() < mCompactedAt.Value() + mOptions.mSnapshotEvery &&
      mAppliedBytes < mOptions.mSnapshotEveryBytes) {
    return;
  }
  mCompactedAt = mApplied;
  mAppliedBytes = 0;
  Notice(ControlNotice::kSnapshotMade,
         "index=" + std::to_string(mApplied.Value()));
  RunConsensus(CompactEvent{ mApplied, State() });
}

void
ControlNodeState::NoteRole()
{
  const bool leads = mConsensus && mConsensus->CurrentRole() == Role::kLeader;
  if (leads == mWasLeader) {
    return;
  }
  mWasLeader = leads;
  const std::string term =
    mConsensus ? "term=" + std::to_string(mConsensus->CurrentTerm().Value())
               : "term=none";
  if (leads) {
    mEpochPlanner.emplace(mOptions, Self(), mNow);
    mReplicaPlanner.emplace(
      ReplicaSetPlannerOptions{
        .mVoters = mOptions.mVoters,
        .mMaxLearners = mOptions.mMaxLearners,
        .mAlive = 4 * mOptions.mConsensus.mElectionTimeout,
        .mReplaceSilentAfter = mOptions.mReplaceSilentAfter },
      mNow);
    Notice(ControlNotice::kTookLead, term);
  } else {
    mEpochPlanner.reset();
    mReplicaPlanner.reset();
    mEpochProposed.reset();
    FailPendingCalls();
    Notice(ControlNotice::kLostLead, term);
  }
}

std::optional<LogIndex>
ControlNodeState::Propose(Command aCommand)
{
  const LogIndex before = mConsensus->LastIndex();
  ConsensusEvent event;
  event.emplace<ProposeEvent>().mCommand = std::move(aCommand);
  RunConsensus(event);
  const LogIndex after = mConsensus->LastIndex();
  return after > before ? std::optional(after) : std::nullopt;
}

std::optional<Address>
ControlNodeState::LeaderAddress() const
{
  if (!mConsensus || !mConsensus->Leader().IsSet()) {
    return std::nullopt;
  }
  return mConsensus->Leader() == Self() ? mOptions.mAddress
                                        : AddressOf(mConsensus->Leader());
}

Term
ControlNodeState::CurrentTerm() const
{
  return mConsensus ? mConsensus->CurrentTerm() : Term();
}

std::vector<Address>
ControlNodeState::ReplicaAddresses() const
{
  std::vector<Address> addresses;
  for (const bool votes : { true, false }) {
    for (const ReplicaInfo& replica : Replicas().mReplicas) {
      if (replica.mVoter == votes) {
        addresses.push_back(AddressOf(replica.mId).value_or(replica.mAddress));
      }
    }
  }
  return addresses;
}

std::vector<Address>
ControlNodeState::VoterAddresses() const
{
  // Voters are listed first.
  std::vector<Address> addresses = ReplicaAddresses();
  addresses.resize(std::min(addresses.size(), Replicas().VoterCount()));
  return addresses;
}

const std::vector<membership::EntryProfile>&
ControlNodeState::ReadyEntries(TimePoint aNow)
{
  return mSessions.Ready(mOptions.mEntryListingTimeout, aNow);
}

std::optional<Address>
ControlNodeState::AddressOf(ReplicaId aReplica) const
{
  const auto learned = mLearnedAddresses.find(aReplica);
  if (learned != mLearnedAddresses.end()) {
    return learned->second;
  }
  const ReplicaInfo* replica = Replicas().Find(aReplica);
  return replica == nullptr ? std::nullopt : std::optional(replica->mAddress);
}

void
ControlNodeState::SendTo(const Address& aTo,
                         ReplicaId aReplica,
                         ReplicaMessage aMessage)
{
  mEffects.emplace_back(ToReplicaEffect{
    aTo,
    ReplicaEnvelope{ .mSystem = mIdentity ? mIdentity->mSystem : SystemId(),
                     .mFrom = Self(),
                     .mTo = aReplica,
                     .mReplyTo = mOptions.mAddress,
                     .mMessage = std::move(aMessage) } });
}

void
ControlNodeState::Notice(ControlNotice aNotice, std::string aText)
{
  mEffects.emplace_back(NoticeEffect{ aNotice, std::move(aText) });
}

} // namespace peridotspool::control
