#include "peridotspool/control/RestoredState.h"

#include "peridotspool/base/TextDelta.h"

#include <algorithm>
#include <string>
#include <utility>

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

RestoredState
FoundingState(const Address& aSelf, std::vector<Address> aFounders)
{
  std::sort(aFounders.begin(), aFounders.end());
  aFounders.erase(std::unique(aFounders.begin(), aFounders.end()),
                  aFounders.end());
  ReplicaSet replicas{ .mReplicas = {}, .mNextId = ReplicaId(1) };
  ReplicaId self;
  std::string names;
  for (const Address& founder : aFounders) {
    const std::string name = ToText(founder);
    names += name + ",";
    if (founder == aSelf) {
      self = replicas.mNextId;
    }
    replicas.mReplicas.push_back(ReplicaInfo{ .mId = replicas.mNextId,
                                              .mName = ReplicaName(name),
                                              .mDomain = {},
                                              .mAddress = founder,
                                              .mNonce = {},
                                              .mVoter = true });
    replicas.mNextId = replicas.mNextId.Next();
  }
  if (!self.IsSet()) {
    return RestoredState{};
  }
  return RestoredState{
    .mIdentity = ReplicaIdentity{ .mSystem = SystemId(DigestOf(names) | 1),
                                  .mReplica = self },
    .mVote = VoteRecord{ .mTerm = Term(1), .mVotedFor = ReplicaId() },
    .mSnapshot = Snapshot{ .mIndex = LogIndex(1),
                           .mTerm = Term(1),
                           .mReplicas = std::move(replicas),
                           .mState = MachineState{} },
    .mEntries = {},
  };
}

} // namespace peridotspool::control
