#pragma once

#include "peridotspool/ledger/Message.h"
#include "peridotspool/ledger/Operation.h"

#include <variant>
#include <vector>

namespace peridotspool::ledger {

/** Send a message to another entry; it may be lost. */
struct SendEffect
{
  MemberId mTo;
  Message mMessage;
};

/** The answer to a ProposeEvent; exactly one for each. */
struct AnsweredEffect
{
  CallId mCall;
  RequestKey mKey;
  OperationAnswer mAnswer;
};

/**
 * This entry is the primary of an unfinished request whose executor has left
 * the member list (or is leaving); the request module takes it over.
 */
struct OrphanedEffect
{
  RequestRecord mRecord;
  /** Time left to the deadline. */
  Duration mRemaining{ 0 };
};

using Effect = std::variant<SendEffect, AnsweredEffect, OrphanedEffect>;
using Effects = std::vector<Effect>;

} // namespace peridotspool::ledger
