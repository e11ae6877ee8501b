#pragma once

#include "peridotspool/base/StrongId.h"

namespace peridotspool::control {

/**
 * Identifies one system permanently; generated at random by `init`. Replicas
 * reject messages of another system, so a second `init` beside a running system
 * can never mix its log with the first one's.
 */
using SystemId = NumberId<struct SystemIdTag>;
/** Random number that identifies one replica process requesting to join. */
using JoinNonce = NumberId<struct JoinNonceTag>;
/** Identifies one write to disk; increases by one with each write. */
using SyncToken = NumberId<struct SyncTokenTag>;
/**
 * Counts a leader's broadcasts, so that a reply shows when its request was
 * sent.
 */
using RoundNumber = NumberId<struct RoundNumberTag>;
/** Name of a control replica in its settings file. */
using ReplicaName = NameId<struct ReplicaNameTag>;

} // namespace peridotspool::control
