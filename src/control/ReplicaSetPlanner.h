#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/control/Consensus.h"
#include "peridotspool/control/ReplicaMessage.h"
#include "peridotspool/control/ReplicaSet.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotspool::control {

/** A replica's pending request for an identity, and the address to reply to. */
struct PendingJoin
{
  JoinRequest mRequest;
  Address mReplyTo;
  TimePoint mAskedAt;
};

/** The decision on a join request, ready to be sent. */
struct JoinDecision
{
  JoinRequest mRequest;
  Address mReplyTo;
  std::optional<ReplicaId> mReplica;
  std::string mReason;
};

struct ReplicaSetPlannerOptions
{
  std::size_t mVoters = 3;
  /** The maximum number of learners beyond the wanted voters. */
  std::size_t mMaxLearners = 2;
  /** A replica that replied within this time counts as alive. */
  Duration mAlive = std::chrono::seconds(2);
  /** See ControlOptions::mReplaceSilentAfter. */
  std::optional<Duration> mReplaceSilentAfter;
};

/**
 * The leader's decisions about control replicas: a replica with an empty folder
 * gets a new identity as a learner; a learner that has caught up replaces its
 * own earlier identity or becomes an additional voter.
 */
class ReplicaSetPlanner
{
public:
  ReplicaSetPlanner(ReplicaSetPlannerOptions aOptions, TimePoint aLeaderSince);

  void HandleJoinRequest(const JoinRequest& aRequest,
                         const Address& aReplyTo,
                         TimePoint aNow);

  /** Returns the decided join requests and drops them. */
  std::vector<JoinDecision> ExtractDecisions(const Consensus& aConsensus,
                                             TimePoint aNow);
  /** Returns the next replica set to commit, if any. */
  std::optional<ReplicaSet> Plan(const Consensus& aConsensus, TimePoint aNow);

private:
  bool IsAlive(const Consensus& aConsensus, ReplicaId aReplica) const;
  bool IsSilentFor(const Consensus& aConsensus,
                   ReplicaId aReplica,
                   Duration aTime) const;
  bool ReplacesEndedProcess(const ReplicaInfo& aEarlier,
                            const JoinRequest& aRequest) const;
  const ReplicaInfo* FindLost(const Consensus& aConsensus, bool aVoter) const;
  bool HasCaughtUp(const Consensus& aConsensus, ReplicaId aReplica) const;
  std::string Refusal(const Consensus& aConsensus,
                      const JoinRequest& aRequest) const;
  std::optional<ReplicaSet> PlanLearner(const Consensus& aConsensus) const;
  std::optional<ReplicaSet> PlanVoter(const Consensus& aConsensus) const;

  ReplicaSetPlannerOptions mOptions;
  TimePoint mLeaderSince;
  TimePoint mNow;
  std::map<JoinNonce, PendingJoin> mPending;
};

} // namespace peridotspool::control
