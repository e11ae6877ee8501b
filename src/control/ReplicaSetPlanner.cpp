#include "control/ReplicaSetPlanner.h"

#include <algorithm>

namespace peridotspool::control {

namespace {

/** A joining replica asks again within this time, or has given up. */
constexpr Duration kAskedLately = std::chrono::seconds(3);
/** Learners beyond the wanted voters, at most. */
constexpr std::size_t kMaxLearners = 2;
/** A learner this close to the log's end has caught up. */
constexpr std::uint64_t kCaughtUpWithin = 16;

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
                                        .mVoter = false });
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

ReplicaSetPlanner::ReplicaSetPlanner(std::size_t aVoters,
                                     Duration aAlive,
                                     TimePoint aLeaderSince)
  : mVoters(aVoters)
  , mAlive(aAlive)
  , mLeaderSince(aLeaderSince)
  , mNow(aLeaderSince)
{
}

void
ReplicaSetPlanner::TakeJoin(const JoinRequest& aRequest,
                            const Address& aReplyTo,
                            TimePoint aNow)
{
  mPending[aRequest.mNonce] = { aRequest, aReplyTo, aNow };
}

bool
ReplicaSetPlanner::IsAlive(const Consensus& aConsensus,
                           ReplicaId aReplica) const
{
  // A new leader hasn't had the time to hear the others; none of them is to
  // be replaced for that.
  if (aReplica == aConsensus.Self() || mNow - mLeaderSince < mAlive) {
    return true;
  }
  const auto found = aConsensus.Progress().find(aReplica);
  return found != aConsensus.Progress().end() && found->second.mAnsweredAt &&
         mNow - *found->second.mAnsweredAt < mAlive;
}

bool
ReplicaSetPlanner::HasCaughtUp(const Consensus& aConsensus,
                               ReplicaId aReplica) const
{
  const auto found = aConsensus.Progress().find(aReplica);
  return found != aConsensus.Progress().end() &&
         IsAlive(aConsensus, aReplica) && found->second.mMatch.IsSet() &&
         found->second.mMatch.Value() + kCaughtUpWithin >=
           aConsensus.LastIndex().Value();
}

// Two processes with one name are a mistake in the settings, unless the earlier
// one is gone. Taking a live voter's place would cost a copy of the log.
std::string
ReplicaSetPlanner::Refusal(const Consensus& aConsensus,
                           const JoinRequest& aRequest) const
{
  const ReplicaSet& set = aConsensus.Replicas();
  const ReplicaInfo* earlier =
    FindEarlier(set, aRequest.mName, aRequest.mNonce);
  if (earlier != nullptr && IsAlive(aConsensus, earlier->mId)) {
    return "replica " + aRequest.mName.Value() + " is alive with identity " +
           std::to_string(earlier->mId.Value());
  }
  if (earlier == nullptr && set.mReplicas.size() >= mVoters + kMaxLearners) {
    return "the system has " + std::to_string(set.mReplicas.size()) +
           " control replicas already";
  }
  return {};
}

std::vector<JoinVerdict>
ReplicaSetPlanner::Verdicts(const Consensus& aConsensus, TimePoint aNow)
{
  mNow = aNow;
  std::erase_if(mPending, [&](const auto& aPair) {
    return aNow - aPair.second.mAskedAt > kAskedLately;
  });
  std::vector<JoinVerdict> verdicts;
  for (auto pending = mPending.begin(); pending != mPending.end();) {
    const JoinRequest& request = pending->second.mRequest;
    JoinVerdict verdict{ .mRequest = request,
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
    // A learner that lost its disk before it was voted in is simply replaced.
    const ReplicaInfo* earlier =
      FindEarlier(set, pending.mRequest.mName, nonce);
    if (earlier != nullptr && !earlier->mVoter) {
      return Without(set, earlier->mId);
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
    if (learner.mVoter || !HasCaughtUp(aConsensus, learner.mId)) {
      continue;
    }
    const ReplicaInfo* earlier =
      FindEarlier(set, learner.mName, learner.mNonce);
    if (earlier != nullptr && earlier->mVoter &&
        !IsAlive(aConsensus, earlier->mId)) {
      return Without(set, earlier->mId);
    }
    if (set.VoterCount() < mVoters) {
      return WithVoter(set, learner.mId);
    }
  }
  return std::nullopt;
}

} // namespace peridotspool::control
