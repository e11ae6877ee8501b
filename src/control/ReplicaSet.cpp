#include "peridotspool/control/ReplicaSet.h"

#include <algorithm>

namespace peridotspool::control {

const ReplicaInfo*
ReplicaSet::Find(ReplicaId aId) const
{
  const auto found =
    std::find_if(mReplicas.begin(), mReplicas.end(), [&](const auto& aReplica) {
      return aReplica.mId == aId;
    });
  return found == mReplicas.end() ? nullptr : &*found;
}

bool
ReplicaSet::IsVoter(ReplicaId aId) const
{
  const ReplicaInfo* replica = Find(aId);
  return replica != nullptr && replica->mVoter;
}

std::size_t
ReplicaSet::VoterCount() const
{
  return static_cast<std::size_t>(
    std::count_if(mReplicas.begin(), mReplicas.end(), [](const auto& aReplica) {
      return aReplica.mVoter;
    }));
}

} // namespace peridotspool::control
