#pragma once

#include "peridotspool/control/MachineState.h"
#include "peridotspool/control/ReplicaSet.h"

#include <boost/describe/class.hpp>

namespace peridotspool::control {

/** The state after the log's entries up to and including mIndex. */
struct Snapshot
{
  LogIndex mIndex;
  /** Term of the entry at mIndex. */
  Term mTerm;
  ReplicaSet mReplicas;
  MachineState mState;

  auto operator<=>(const Snapshot&) const = default;
};
BOOST_DESCRIBE_STRUCT(Snapshot, (), (mIndex, mTerm, mReplicas, mState))

} // namespace peridotspool::control
