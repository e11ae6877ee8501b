#pragma once

#include "peridotspool/ledger/Operation.h"
#include "peridotspool/membership/EpochMap.h"

#include <boost/describe/class.hpp>
#include <variant>

namespace peridotspool::ledger {

/** An entry asks a shard's primary for an operation. */
struct ProposeMessage
{
  EpochNumber epoch;
  CallId call;
  RequestKey key;
  Operation operation;

  auto operator<=>(const ProposeMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(ProposeMessage, (), (epoch, call, key, operation))

/** The primary's answer. */
struct AnswerMessage
{
  CallId call;
  RequestKey key;
  OperationAnswer answer;

  auto operator<=>(const AnswerMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(AnswerMessage, (), (call, key, answer))

using Message = std::variant<ProposeMessage, AnswerMessage>;

} // namespace peridotspool::ledger
