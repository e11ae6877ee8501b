#pragma once

#include "peridotspool/ledger/Message.h"
#include "peridotspool/ledger/Operation.h"
#include "peridotspool/membership/EpochMap.h"

#include <variant>

namespace peridotspool::ledger {

/** The control log has published a newer member list. */
struct EpochChangedEvent
{
  membership::EpochMap mMap;
};

/** A message has arrived from the ledger of another entry. */
struct MessageEvent
{
  MemberId mFrom;
  Message mMessage;
};

/** The request module of this entry requests an operation. */
struct ProposeEvent
{
  /** Identifies the call to the request module; returned in AnsweredEffect. */
  CallId mCall;
  RequestKey mKey;
  Operation mOperation;
};

/** Time has passed. Sent at least once every kTickPeriod. */
struct TickEvent
{};

using Event =
  std::variant<EpochChangedEvent, MessageEvent, ProposeEvent, TickEvent>;

} // namespace peridotspool::ledger
