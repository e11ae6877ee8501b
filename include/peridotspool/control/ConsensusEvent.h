#pragma once

#include "peridotspool/control/ReplicaMessage.h"

#include <variant>

namespace peridotspool::control {

/** A message came from another replica of this system. */
struct ReplicaMessageEvent
{
  ReplicaId mFrom;
  ReplicaMessage mMessage;
};

/** All writes up to and with this token are on the disk. */
struct SyncedEvent
{
  SyncToken mToken;
};

/** The leader's host proposes a command; ignored unless this replica leads. */
struct ProposeEvent
{
  Command mCommand;
};

/** The state machine's state after the entry at mIndex was applied. */
struct CompactEvent
{
  LogIndex mIndex;
  MachineState mState;
};

/** Time has passed. */
struct TickEvent
{};

using ConsensusEvent = std::variant<ReplicaMessageEvent,
                                    SyncedEvent,
                                    ProposeEvent,
                                    CompactEvent,
                                    TickEvent>;

} // namespace peridotspool::control
