#pragma once

#include "peridotspool/ledger/Message.h"
#include "peridotspool/ledger/Operation.h"
#include "peridotspool/membership/EpochMap.h"

#include <variant>

namespace peridotspool::ledger {

/** The control log made a newer member list. */
struct EpochChangedEvent
{
  membership::EpochMap map;
};

/** A message came from another entry's ledger. */
struct MessageEvent
{
  MemberId from;
  Message message;
};

/** This entry's request module asks for an operation. */
struct ProposeEvent
{
  /** The asker's handle, returned in AnsweredEffect. */
  CallId call;
  RequestKey key;
  Operation operation;
};

/** Time has passed; sent at least every kTickPeriod. */
struct TickEvent
{};

using Event =
  std::variant<EpochChangedEvent, MessageEvent, ProposeEvent, TickEvent>;

} // namespace peridotspool::ledger
