#pragma once

#include "peridotspool/ledger/Message.h"
#include "peridotspool/ledger/Operation.h"

#include <variant>
#include <vector>

namespace peridotspool::ledger {

/** Send a message to another entry; it may be lost. */
struct SendEffect
{
  MemberId to;
  Message message;
};

/** The answer to a ProposeEvent; exactly one for each. */
struct AnsweredEffect
{
  CallId call;
  RequestKey key;
  OperationAnswer answer;
};

/**
 * This entry is the primary of an unfinished request whose executor has left
 * the member list (or is leaving); the request module takes it over.
 */
struct OrphanedEffect
{
  RequestRecord record;
  /** Time left to the deadline. */
  Duration remaining{ 0 };
};

using Effect = std::variant<SendEffect, AnsweredEffect, OrphanedEffect>;
using Effects = std::vector<Effect>;

} // namespace peridotspool::ledger
