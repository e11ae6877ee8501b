#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"
#include "peridotspool/control/ControlIds.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstddef>
#include <vector>

namespace peridotspool::control {

/** One control replica as recorded in the log. */
struct ReplicaInfo
{
  ReplicaId mId;
  ReplicaName mName;
  FailureDomain mDomain;
  /** The address at which the other replicas reach it. */
  Address mAddress;
  /**
   * The process that requested to join; zero for the replica created by `init`.
   */
  JoinNonce mNonce;
  /** False for a learner, which receives the log but counts in no majority. */
  bool mVoter = false;
  /** The replica has no disk and so never becomes a voter. */
  bool mVolatile = false;

  auto operator<=>(const ReplicaInfo&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  ReplicaInfo,
  (),
  (mId, mName, mDomain, mAddress, mNonce, mVoter, mVolatile))

/** The control replicas; changed by one replica at a time, through the log. */
struct ReplicaSet
{
  std::vector<ReplicaInfo> mReplicas;
  /** The id for the next replica; ids are never reused. */
  ReplicaId mNextId;

  /** Returns the replica with this id, or null. */
  const ReplicaInfo* Find(ReplicaId aId) const;
  bool IsVoter(ReplicaId aId) const;
  std::size_t VoterCount() const;
  /** Returns how many voters make a majority. */
  std::size_t Majority() const { return VoterCount() / 2 + 1; }

  auto operator<=>(const ReplicaSet&) const = default;
};
BOOST_DESCRIBE_STRUCT(ReplicaSet, (), (mReplicas, mNextId))

} // namespace peridotspool::control
