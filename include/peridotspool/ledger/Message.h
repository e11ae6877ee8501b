#pragma once

#include "peridotspool/ledger/Operation.h"
#include "peridotspool/membership/EpochMap.h"

#include <boost/describe/class.hpp>
#include <variant>

namespace peridotspool::ledger {

/** An entry asks a shard's primary for an operation. */
struct ProposeMessage
{
  EpochNumber mEpoch;
  CallId mCall;
  RequestKey mKey;
  Operation mOperation;

  auto operator<=>(const ProposeMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(ProposeMessage, (), (mEpoch, mCall, mKey, mOperation))

/** The primary's answer. */
struct AnswerMessage
{
  CallId mCall;
  RequestKey mKey;
  OperationAnswer mAnswer;

  auto operator<=>(const AnswerMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(AnswerMessage, (), (mCall, mKey, mAnswer))

using Message = std::variant<ProposeMessage, AnswerMessage>;

} // namespace peridotspool::ledger
