#pragma once

#include "peridotspool/control/PersistEffect.h"
#include "peridotspool/control/ReplicaMessage.h"

#include <variant>
#include <vector>

namespace peridotspool::control {

/** Send a message to another replica; it may be lost. */
struct SendReplicaEffect
{
  ReplicaId mTo;
  ReplicaMessage mMessage;
};

/** These entries are committed: apply them, in order. */
struct CommittedEffect
{
  std::vector<LogEntry> mEntries;
};

/** Replace the state machine's state by the snapshot's. */
struct InstalledEffect
{
  Snapshot mSnapshot;
};

using ConsensusEffect = std::
  variant<SendReplicaEffect, PersistEffect, CommittedEffect, InstalledEffect>;
using ConsensusEffects = std::vector<ConsensusEffect>;

} // namespace peridotspool::control
