#pragma once

#include "peridotspool/control/ReplicaMessage.h"

#include <variant>

namespace peridotspool::control {

/** A message was received from another replica of this system. */
struct ReplicaMessageEvent
{
  ReplicaId mFrom;
  ReplicaMessage mMessage;
};

/** All writes up to and including this token have synced to disk. */
struct SyncedEvent
{
  SyncToken mToken;
};

/** The host proposes a command; ignored unless this replica leads. */
struct ProposeEvent
{
  Command mCommand;
};

/**
 * Supplies the state machine's state after the entry at mIndex, for a snapshot.
 */
struct CompactEvent
{
  LogIndex mIndex;
  MachineState mState;
};

/** Reports the passage of time. */
struct TickEvent
{};

using ConsensusEvent = std::variant<ReplicaMessageEvent,
                                    SyncedEvent,
                                    ProposeEvent,
                                    CompactEvent,
                                    TickEvent>;

} // namespace peridotspool::control
