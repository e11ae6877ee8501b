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
 * The leader's decisions about members: who joins, drains and is removed, and
 * when that makes an epoch. Its memory is a leader's: a new leader starts with
 * an empty one.
 */
class EpochPlanner
{
public:
  EpochPlanner(const ControlOptions& aOptions,
               ReplicaId aSelf,
               TimePoint aLeaderSince);

  /** Another replica tells whom it doesn't hear. */
  void HandleSilenceReport(ReplicaId aFrom,
                           const SilenceReport& aReport,
                           TimePoint aNow);
  /** An operator wants this member to leave. */
  void HandleDrain(MemberId aMember);
  /** An epoch was committed. */
  void TakeEpoch(const membership::EpochChange& aChange,
                 const membership::EpochMap& aBefore,
                 TimePoint aNow);

  /** Returns true iff the member is to get no lease, so that it can go. */
  bool IsWithheld(MemberId aMember) const;

  /** Returns members that a majority has stopped hearing, each once. */
  std::vector<MemberId> ExtractNewlySilent();

  /** Returns what is to be committed now, if anything. */
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
