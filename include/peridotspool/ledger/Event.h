#pragma once

#include "peridotspool/ledger/Message.h"
#include "peridotspool/ledger/Operation.h"
#include "peridotspool/membership/EpochMap.h"

#include <variant>

namespace peridotspool::ledger {

/** The control log made a newer member list. */
struct EpochChangedEvent
{
  membership::EpochMap mMap;
};

/** A message came from another entry's ledger. */
struct MessageEvent
{
  MemberId mFrom;
  Message mMessage;
};

/** This entry's request module asks for an operation. */
struct ProposeEvent
{
  /** The asker's handle, returned in AnsweredEffect. */
  CallId mCall;
  RequestKey mKey;
  Operation mOperation;
};

/** Time has passed; sent at least every kTickPeriod. */
struct TickEvent
{};

using Event =
  std::variant<EpochChangedEvent, MessageEvent, ProposeEvent, TickEvent>;

} // namespace peridotspool::ledger
