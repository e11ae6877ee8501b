#pragma once

#include "control/EntrySessions.h"
#include "control/SuspectTracker.h"
#include "peridotspool/control/Command.h"
#include "peridotspool/control/ControlOptions.h"
#include "peridotspool/control/MembershipState.h"
#include "peridotspool/control/ReplicaMessage.h"
#include "peridotspool/control/ReplicaSet.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace peridotspool::control {

/**
 * The leader's decisions about members: which ones join, drain and are removed,
 * and when the changes form an epoch. Its state isn't replicated: a new leader
 * starts with an empty planner.
 */
class EpochPlanner
{
public:
  EpochPlanner(const ControlOptions& aOptions,
               ReplicaId aSelf,
               TimePoint aLeaderSince);

  /** Records another replica's report of silent members. */
  void HandleSilenceReport(ReplicaId aFrom,
                           const SilenceReport& aReport,
                           TimePoint aNow);
  /** Records an operator's request to drain this member. */
  void HandleDrain(MemberId aMember);
  /** Records a committed epoch. */
  void TakeEpoch(const membership::EpochChange& aChange,
                 const membership::EpochMap& aBefore,
                 TimePoint aNow);

  /**
   * Returns true iff the member must get no further lease, because it is about
   * to be removed.
   */
  bool IsWithheld(MemberId aMember) const;

  /** Returns members that a majority newly considers silent, each once. */
  std::vector<MemberId> ExtractNewlySilent();

  /** Returns the membership change to commit now, if any. */
  std::optional<MembershipCommand> Plan(EntrySessions& aSessions,
                                        const MembershipState& aState,
                                        const ReplicaSet& aReplicas,
                                        TimePoint aNow);

private:
  struct Report
  {
    TimePoint mReceivedAt;
    std::map<MemberId, Duration> mSilent;
  };
  struct Rejoin
  {
    TimePoint mNotBefore;
    Duration mBackoff{ 0 };
  };

  void AddRemovals(const EntrySessions& aSessions,
                   const MembershipState& aState,
                   const ReplicaSet& aReplicas,
                   MembershipCommand& aCommand);
  void AddDrains(const EntrySessions& aSessions,
                 const MembershipState& aState,
                 MembershipCommand& aCommand);
  void AddJoins(EntrySessions& aSessions,
                const MembershipState& aState,
                MembershipCommand& aCommand);
  bool IsSilent(MemberId aMember,
                const MemberView& aView,
                const ReplicaSet& aReplicas) const;
  bool MayJoin(const EntrySession& aSession,
               const EntrySessions& aSessions,
               const MembershipState& aState) const;
  bool IsDue(const MembershipCommand& aCommand);

  ControlOptions mOptions;
  ReplicaId mSelf;
  TimePoint mLeaderSince;
  TimePoint mNow;
  std::map<ReplicaId, Report> mReports;
  SuspectTracker mSuspects;
  std::set<MemberId> mWithheld;
  std::vector<MemberId> mNewlySilent;
  std::set<MemberId> mDrains;
  std::map<EntryName, Rejoin> mRejoins;
  std::optional<TimePoint> mFirstWantedAt;
  std::optional<TimePoint> mLastEpochAt;
};

} // namespace peridotspool::control
