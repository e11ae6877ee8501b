#pragma once

#include "peridotspool/control/PersistEffect.h"
#include "peridotspool/control/ReplicaMessage.h"

#include <variant>
#include <vector>

namespace peridotspool::control {

/** Sends a message to another replica; the message may be lost. */
struct SendReplicaEffect
{
  ReplicaId mTo;
  ReplicaMessage mMessage;
};

/** Applies these committed entries, in order. */
struct CommittedEffect
{
  std::vector<LogEntry> mEntries;
};

/** Replaces the state machine's state by the snapshot's. */
struct InstalledEffect
{
  Snapshot mSnapshot;
};

using ConsensusEffect = std::
  variant<SendReplicaEffect, PersistEffect, CommittedEffect, InstalledEffect>;
using ConsensusEffects = std::vector<ConsensusEffect>;

} // namespace peridotspool::control
