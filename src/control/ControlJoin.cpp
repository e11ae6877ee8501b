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
  mAppliedBytes = 0;
  mConsensus.emplace(mOptions.mConsensus, std::move(aState), mNow, aLastToken);
  mSessions.UpdateMembers(State().mMembership.mNonces, mNow);
}

// An empty folder may belong to a replica that lost its disk, and with it its
// votes and acknowledged entries. If it rejoined under its old identity, a
// majority could consist of replicas that have all lost a committed edit. It
// therefore gets a new identity from the log and counts in no majority before
// it has the whole log again.
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

// A process that requests an identity has none. If it listens at the address of
// an earlier identity's replica, that replica's process has ended. Without this
// rule the others would withhold their votes for it, and for half a second
// after a crash of all replicas with one lost disk no request would be served.
// Connections don't outlive a process, so the request was sent by a process
// that ran after this one had started. A process that has since been given the
// identity carries the nonce that it sent with the request.
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

// The configured seeds may all be replicas without an identity themselves, such
// as ones without a disk after a restart. A message for an earlier identity of
// this address shows where the group is.
void
ControlNodeState::RecordReplicaAddress(const Address& aAddress)
{
  constexpr std::size_t kMaxSeeds = 16;
  const bool isKnown =
    std::find(mSeeds.begin(), mSeeds.end(), aAddress) != mSeeds.end();
  if (!isKnown && aAddress != mOptions.mAddress && mSeeds.size() < kMaxSeeds) {
    mSeeds.push_back(aAddress);
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

// A partitioned voter may be replaced meanwhile. When it reconnects it would
// request votes forever, and its disk is useless; once notified that its
// identity has ended it can join again. Only the committed set decides this,
// because an uncommitted set may still be replaced.
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

// A replica sends ten requests a second; each reason is logged once.
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
