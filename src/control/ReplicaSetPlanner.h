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

/** A replica that asks for an identity, and where to answer it. */
struct PendingJoin
{
  JoinRequest mRequest;
  Address mReplyTo;
  TimePoint mAskedAt;
};

/** A join that can be answered now. */
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
  /** Learners beyond the wanted voters, at most. */
  std::size_t mMaxLearners = 2;
  /** A replica that answered within this time is alive. */
  Duration mAlive = std::chrono::seconds(2);
  /** See ControlOptions::mReplaceSilentAfter. */
  std::optional<Duration> mReplaceSilentAfter;
};

/**
 * The leader's decisions about control replicas: one with an empty folder gets
 * a new identity as a learner; a learner that has caught up takes the place of
 * its own earlier identity, or becomes a further voter.
 */
class ReplicaSetPlanner
{
public:
  ReplicaSetPlanner(ReplicaSetPlannerOptions aOptions, TimePoint aLeaderSince);

  void HandleJoinRequest(const JoinRequest& aRequest,
                         const Address& aReplyTo,
                         TimePoint aNow);

  /** Returns joins that are settled, and forgets them. */
  std::vector<JoinDecision> ExtractDecisions(const Consensus& aConsensus,
                                             TimePoint aNow);
  /** Returns the next replica set to be committed, if any. */
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
