#include "control/ReplicaSetPlanner.h"

#include <algorithm>

namespace peridotspool::control {

namespace {

/**
 * A joining replica that hasn't repeated its request within this time has given
 * up.
 */
constexpr Duration kJoinRequestTimeout = std::chrono::seconds(3);
/** A learner that lags by at most this many entries has caught up. */
constexpr std::uint64_t kMaxCaughtUpLag = 16;

const ReplicaInfo*
FindNonce(const ReplicaSet& aSet, JoinNonce aNonce)
{
  const auto found = std::find_if(
    aSet.mReplicas.begin(), aSet.mReplicas.end(), [&](const auto& aReplica) {
      return aReplica.mNonce == aNonce;
    });
  return found == aSet.mReplicas.end() ? nullptr : &*found;
}

/** Returns the replica of that name with another identity, or null. */
const ReplicaInfo*
FindEarlier(const ReplicaSet& aSet, const ReplicaName& aName, JoinNonce aNonce)
{
  const auto found = std::find_if(
    aSet.mReplicas.begin(), aSet.mReplicas.end(), [&](const auto& aReplica) {
      return aReplica.mName == aName && aReplica.mNonce != aNonce;
    });
  return found == aSet.mReplicas.end() ? nullptr : &*found;
}

ReplicaSet
Without(ReplicaSet aSet, ReplicaId aReplica)
{
  std::erase_if(aSet.mReplicas, [&](const ReplicaInfo& aInfo) {
    return aInfo.mId == aReplica;
  });
  return aSet;
}

ReplicaSet
WithLearner(ReplicaSet aSet, const JoinRequest& aRequest)
{
  aSet.mReplicas.push_back(ReplicaInfo{ .mId = aSet.mNextId,
                                        .mName = aRequest.mName,
                                        .mDomain = aRequest.mDomain,
                                        .mAddress = aRequest.mAddress,
                                        .mNonce = aRequest.mNonce,
                                        .mVoter = false,
                                        .mVolatile = aRequest.mVolatile });
  aSet.mNextId = aSet.mNextId.Next();
  return aSet;
}

ReplicaSet
WithVoter(ReplicaSet aSet, ReplicaId aReplica)
{
  for (ReplicaInfo& replica : aSet.mReplicas) {
    replica.mVoter = replica.mVoter || replica.mId == aReplica;
  }
  return aSet;
}

} // namespace

ReplicaSetPlanner::ReplicaSetPlanner(ReplicaSetPlannerOptions aOptions,
                                     TimePoint aLeaderSince)
  : mOptions(aOptions)
  , mLeaderSince(aLeaderSince)
  , mNow(aLeaderSince)
{
}

void
ReplicaSetPlanner::HandleJoinRequest(const JoinRequest& aRequest,
                                     const Address& aReplyTo,
                                     TimePoint aNow)
{
  mPending[aRequest.mNonce] = { aRequest, aReplyTo, aNow };
}

bool
ReplicaSetPlanner::IsAlive(const Consensus& aConsensus,
                           ReplicaId aReplica) const
{
  return !IsSilentFor(aConsensus, aReplica, mOptions.mAlive);
}

bool
ReplicaSetPlanner::IsSilentFor(const Consensus& aConsensus,
                               ReplicaId aReplica,
                               Duration aTime) const
{
  // A new leader hasn't yet had time to hear from the others; none of them may
  // be replaced for that.
  if (aReplica == aConsensus.Self() || mNow - mLeaderSince < aTime) {
    return false;
  }
  const auto found = aConsensus.Progress().find(aReplica);
  return found == aConsensus.Progress().end() || !found->second.mAnsweredAt ||
         mNow - *found->second.mAnsweredAt >= aTime;
}

// Only one process can listen at an address: a request for an identity from
// there proves without a wait that the earlier process has ended.
bool
ReplicaSetPlanner::ReplacesEndedProcess(const ReplicaInfo& aEarlier,
                                        const JoinRequest& aRequest) const
{
  return mOptions.mReplaceSilentAfter && aEarlier.mAddress == aRequest.mAddress;
}

const ReplicaInfo*
ReplicaSetPlanner::FindLost(const Consensus& aConsensus, bool aVoter) const
{
  if (!mOptions.mReplaceSilentAfter) {
    return nullptr;
  }
  const auto& replicas = aConsensus.Replicas().mReplicas;
  const auto found =
    std::find_if(replicas.begin(), replicas.end(), [&](const auto& aReplica) {
      return aReplica.mVoter == aVoter &&
             IsSilentFor(
               aConsensus, aReplica.mId, *mOptions.mReplaceSilentAfter);
    });
  return found == replicas.end() ? nullptr : &*found;
}

bool
ReplicaSetPlanner::HasCaughtUp(const Consensus& aConsensus,
                               ReplicaId aReplica) const
{
  const auto found = aConsensus.Progress().find(aReplica);
  return found != aConsensus.Progress().end() &&
         IsAlive(aConsensus, aReplica) && found->second.mMatch.IsSet() &&
         found->second.mMatch.Value() + kMaxCaughtUpLag >=
           aConsensus.LastIndex().Value();
}

// Two processes with one name are a configuration error, unless the earlier one
// has ended. Replacing a live voter would cost a copy of the log.
std::string
ReplicaSetPlanner::Refusal(const Consensus& aConsensus,
                           const JoinRequest& aRequest) const
{
  const ReplicaSet& set = aConsensus.Replicas();
  const ReplicaInfo* earlier =
    FindEarlier(set, aRequest.mName, aRequest.mNonce);
  if (earlier != nullptr && !ReplacesEndedProcess(*earlier, aRequest) &&
      IsAlive(aConsensus, earlier->mId)) {
    return "replica " + aRequest.mName.Value() + " is alive with identity " +
           std::to_string(earlier->mId.Value());
  }
  const std::size_t most = mOptions.mVoters + mOptions.mMaxLearners;
  if (earlier == nullptr && set.mReplicas.size() >= most &&
      FindLost(aConsensus, false) == nullptr) {
    return "the system has " + std::to_string(set.mReplicas.size()) +
           " control replicas already";
  }
  return {};
}

std::vector<JoinDecision>
ReplicaSetPlanner::ExtractDecisions(const Consensus& aConsensus, TimePoint aNow)
{
  mNow = aNow;
  std::erase_if(mPending, [&](const auto& aPair) {
    return aNow - aPair.second.mAskedAt > kJoinRequestTimeout;
  });
  std::vector<JoinDecision> verdicts;
  for (auto pending = mPending.begin(); pending != mPending.end();) {
    const JoinRequest& request = pending->second.mRequest;
    JoinDecision verdict{ .mRequest = request,
                          .mReplyTo = pending->second.mReplyTo,
                          .mReplica = {},
                          .mReason = {} };
    const ReplicaInfo* known = FindNonce(aConsensus.Replicas(), request.mNonce);
    if (known != nullptr && aConsensus.ReplicaSetSettled()) {
      verdict.mReplica = known->mId;
    } else if (known == nullptr) {
      verdict.mReason = Refusal(aConsensus, request);
    }
    if (verdict.mReplica || !verdict.mReason.empty()) {
      verdicts.push_back(std::move(verdict));
      pending = mPending.erase(pending);
    } else {
      ++pending;
    }
  }
  return verdicts;
}

std::optional<ReplicaSet>
ReplicaSetPlanner::Plan(const Consensus& aConsensus, TimePoint aNow)
{
  mNow = aNow;
  if (!aConsensus.ReplicaSetSettled()) {
    return std::nullopt;
  }
  auto plan = PlanLearner(aConsensus);
  return plan ? plan : PlanVoter(aConsensus);
}

std::optional<ReplicaSet>
ReplicaSetPlanner::PlanLearner(const Consensus& aConsensus) const
{
  const ReplicaSet& set = aConsensus.Replicas();
  for (const auto& [nonce, pending] : mPending) {
    if (FindNonce(set, nonce) != nullptr ||
        !Refusal(aConsensus, pending.mRequest).empty()) {
      continue;
    }
    // A learner that lost its disk before it became a voter is simply replaced.
    const ReplicaInfo* earlier =
      FindEarlier(set, pending.mRequest.mName, nonce);
    if (earlier != nullptr && !earlier->mVoter) {
      return Without(set, earlier->mId);
    }
    const ReplicaInfo* lost = FindLost(aConsensus, false);
    if (set.mReplicas.size() >= mOptions.mVoters + mOptions.mMaxLearners &&
        lost != nullptr) {
      return Without(set, lost->mId);
    }
    return WithLearner(set, pending.mRequest);
  }
  return std::nullopt;
}

std::optional<ReplicaSet>
ReplicaSetPlanner::PlanVoter(const Consensus& aConsensus) const
{
  const ReplicaSet& set = aConsensus.Replicas();
  for (const ReplicaInfo& learner : set.mReplicas) {
    if (learner.mVoter || learner.mVolatile ||
        !HasCaughtUp(aConsensus, learner.mId)) {
      continue;
    }
    const ReplicaInfo* earlier =
      FindEarlier(set, learner.mName, learner.mNonce);
    const bool reborn = mOptions.mReplaceSilentAfter && earlier != nullptr &&
                        earlier->mAddress == learner.mAddress;
    if (earlier != nullptr && earlier->mVoter &&
        (reborn || !IsAlive(aConsensus, earlier->mId))) {
      return Without(set, earlier->mId);
    }
    if (set.VoterCount() < mOptions.mVoters) {
      return WithVoter(set, learner.mId);
    }
    if (const ReplicaInfo* lost = FindLost(aConsensus, true)) {
      return Without(set, lost->mId);
    }
  }
  return std::nullopt;
}

} // namespace peridotspool::control
