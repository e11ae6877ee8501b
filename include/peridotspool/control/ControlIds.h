#pragma once

#include "peridotspool/base/StrongId.h"

namespace peridotspool::control {

/**
 * Names one system for its whole life; made at random by `init`. Replicas
 * refuse messages of another system, so a second `init` beside a running
 * system can never mix its log with the first one's.
 */
using SystemId = NumberId<struct SystemIdTag>;
/** Random number of one replica process that asks to join. */
using JoinNonce = NumberId<struct JoinNonceTag>;
/** Names one write to the disk; rising by one for each write. */
using SyncToken = NumberId<struct SyncTokenTag>;
/** Counts a leader's broadcasts, so that an answer tells when it was sent. */
using RoundNumber = NumberId<struct RoundNumberTag>;
/** Name of a control replica in its settings file. */
using ReplicaName = NameId<struct ReplicaNameTag>;

} // namespace peridotspool::control
