#include "peridotspool/control/RestoredState.h"

namespace peridotspool::control {

RestoredState
InitialState(SystemId aSystem, ReplicaInfo aFirst)
{
  aFirst.mId = ReplicaId(1);
  aFirst.mVoter = true;
  const ReplicaSet replicas{ .mReplicas = { std::move(aFirst) },
                             .mNextId = ReplicaId(2) };
  return RestoredState{
    .mIdentity =
      ReplicaIdentity{ .mSystem = aSystem, .mReplica = ReplicaId(1) },
    .mVote = VoteRecord{ .mTerm = Term(1), .mVotedFor = ReplicaId() },
    .mSnapshot = Snapshot{ .mIndex = LogIndex(1),
                           .mTerm = Term(1),
                           .mReplicas = replicas,
                           .mState = MachineState{} },
    .mEntries = {},
  };
}

} // namespace peridotspool::control
