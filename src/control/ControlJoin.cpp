// Replicas without an identity, and changes of the replica set.

#include "control/ControlNodeState.h"

#include <algorithm>

namespace peridotspool::control {

void
ControlNodeState::StartConsensus(RestoredState aState, SyncToken aLastToken)
{
  mIdentity = aState.mIdentity;
  mApplied = aState.mSnapshot ? aState.mSnapshot->mIndex : LogIndex();
  mCompactedAt = mApplied;
  mConsensus.emplace(mOptions.mConsensus, std::move(aState), mNow, aLastToken);
  mSessions.UpdateMembers(State().mMembership.mNonces, mNow);
}

// An empty folder may belong to a replica that lost its disk, and with it its
// votes and acknowledged entries. If it came back under its old identity, a
// majority could be made of replicas that have all forgotten a committed edit.
// So it gets a new identity from the log, and counts in no majority before it
// has the whole log again.
void
ControlNodeState::RequestIdentity()
{
  constexpr Duration kAskPeriod = std::chrono::milliseconds(100);
  const bool asked = mAskedAt != TimePoint() && mNow - mAskedAt < kAskPeriod;
  if (mNewIdentity || asked) {
    return;
  }
  mAskedAt = mNow;
  for (const Address& seed : mSeeds) {
    SendTo(seed,
           ReplicaId(),
           JoinRequest{ .mName = mOptions.mName,
                        .mDomain = mOptions.mDomain,
                        .mAddress = mOptions.mAddress,
                        .mNonce = mOptions.mNonce,
                        .mVolatile = mOptions.mVolatile });
  }
}

void
ControlNodeState::HandleJoinRequest(const Address& aReplyTo,
                                    const JoinRequest& aRequest)
{
  if (!mConsensus) {
    return;
  }
  RecordReplacedReplica(aRequest);
  if (Leads(mNow)) {
    mReplicaPlanner->HandleJoinRequest(aRequest, aReplyTo, mNow);
    return;
  }
  if (const auto leader = LeaderAddress();
      leader && *leader != mOptions.mAddress) {
    SendTo(aReplyTo,
           ReplicaId(),
           JoinReply{ .mNonce = aRequest.mNonce,
                      .mReplica = {},
                      .mLeader = leader,
                      .mReason = "not the leader" });
  }
}

// Whoever asks for an identity has none, and listens where the replica of an
// earlier one did: that one's process is over. Without it the others would keep
// their silence for it, half a second after everything was killed and one disk
// lost, with nobody served meanwhile. Connections do not outlive a process, so
// the request was sent by a process that ran after this one had started; one
// that has got the identity since bears the nonce that it asked with.
void
ControlNodeState::RecordReplacedReplica(const JoinRequest& aRequest)
{
  for (const ReplicaInfo& replica : mConsensus->Replicas().mReplicas) {
    if (replica.mAddress == aRequest.mAddress &&
        replica.mNonce != aRequest.mNonce) {
      mConsensus->RecordEndedReplica(replica.mId);
    }
  }
}

void
ControlNodeState::HandleJoinReply(SystemId aSystem, const JoinReply& aReply)
{
  if (mConsensus || mNewIdentity || aReply.mNonce != mOptions.mNonce) {
    return;
  }
  if (aReply.mLeader &&
      std::find(mSeeds.begin(), mSeeds.end(), *aReply.mLeader) ==
        mSeeds.end()) {
    mSeeds.push_back(*aReply.mLeader);
  }
  if (!aReply.mReplica) {
    if (!aReply.mLeader) {
      LogJoinRefusal("reason=" + aReply.mReason);
    }
    return;
  }
  const ReplicaIdentity identity{ .mSystem = aSystem,
                                  .mReplica = *aReply.mReplica };
  mNewIdentity =
    Identity{ .mIdentity = identity, .mToken = mLastIssuedToken.Next() };
  PersistEffect write;
  write.mReset = true;
  write.mToken = mNewIdentity->mToken;
  write.mIdentity = identity;
  mEffects.emplace_back(std::move(write));
}

// A voter that was cut off may lose its place meanwhile. When it comes back it
// asks for votes for ever, and its disk is of no use to anybody; told that its
// identity is over it can join again. Only the committed set says so: a set
// that is not committed may still be replaced.
bool
ControlNodeState::NotifyIfRemoved(const ReplicaEnvelope& aEnvelope)
{
  const ReplicaSet& set = mConsensus->Replicas();
  const bool removed =
    mConsensus->ReplicaSetSettled() && aEnvelope.mFrom.IsSet() &&
    aEnvelope.mFrom < set.mNextId && set.Find(aEnvelope.mFrom) == nullptr;
  if (removed) {
    SendTo(aEnvelope.mReplyTo,
           aEnvelope.mFrom,
           RemovedNotice{ .mRemoved = aEnvelope.mFrom });
  }
  return removed;
}

void
ControlNodeState::HandleRemovedNotice(const ReplicaEnvelope& aEnvelope)
{
  const auto& notice = std::get<RemovedNotice>(aEnvelope.mMessage);
  if (!mConsensus || aEnvelope.mSystem != mIdentity->mSystem ||
      notice.mRemoved != mIdentity->mReplica) {
    return;
  }
  Notice(ControlNotice::kIdentityLost,
         "replica=" + std::to_string(notice.mRemoved.Value()));
  for (const Address& address : ReplicaAddresses()) {
    if (address != mOptions.mAddress &&
        std::find(mSeeds.begin(), mSeeds.end(), address) == mSeeds.end()) {
      mSeeds.push_back(address);
    }
  }
  mLastIssuedToken = mConsensus->LastToken();
  mConsensus.reset();
  mIdentity.reset();
  mLearnedAddresses.clear();
  mOptions.mNonce = JoinNonce(mOptions.mNonce.Value() * 2654435761U + 1);
}

// A replica asks ten times a second; the log needs each reason once.
void
ControlNodeState::LogJoinRefusal(const std::string& aText)
{
  if (aText != mLastRefusal) {
    mLastRefusal = aText;
    Notice(ControlNotice::kReplicaJoinRefused, aText);
  }
}

void
ControlNodeState::PlanReplicas()
{
  for (JoinDecision& verdict :
       mReplicaPlanner->ExtractDecisions(*mConsensus, mNow)) {
    if (!verdict.mReplica) {
      LogJoinRefusal("name=" + verdict.mRequest.mName.Value() +
                     " reason=" + verdict.mReason);
    }
    SendTo(verdict.mReplyTo,
           ReplicaId(),
           JoinReply{ .mNonce = verdict.mRequest.mNonce,
                      .mReplica = verdict.mReplica,
                      .mLeader = {},
                      .mReason = std::move(verdict.mReason) });
  }
  if (auto set = mReplicaPlanner->Plan(*mConsensus, mNow)) {
    Propose(ReplicaSetCommand{ std::move(*set) });
  }
}

} // namespace peridotspool::control
