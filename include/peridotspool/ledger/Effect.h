#pragma once

#include "peridotspool/ledger/Message.h"
#include "peridotspool/ledger/Operation.h"

#include <variant>
#include <vector>

namespace peridotspool::ledger {

/** Sends a message to another entry. The message may be lost. */
struct SendEffect
{
  MemberId mTo;
  Message mMessage;
};

/** The answer to a ProposeEvent. Each ProposeEvent gets exactly one. */
struct AnsweredEffect
{
  CallId mCall;
  RequestKey mKey;
  OperationAnswer mAnswer;
};

/**
 * Reports an unfinished request, held by this entry as primary, whose executor
 * is draining, has left the member list or is past its deadline. The request
 * module takes the request over.
 */
struct OrphanedEffect
{
  RequestRecord mRecord;
  /** Time left until the deadline. */
  Duration mRemaining{ 0 };
};

using Effect = std::variant<SendEffect, AnsweredEffect, OrphanedEffect>;
using Effects = std::vector<Effect>;

} // namespace peridotspool::ledger
