#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/RequestKey.h"
#include "peridotspool/ledger/RequestRecord.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace peridotspool::request {

/** Requests a request's answer from its executor, starting at an offset. */
struct FollowMessage
{
  RequestKey mKey;
  AttemptNumber mLineage;
  std::uint64_t mOffset = 0;

  auto operator<=>(const FollowMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(FollowMessage, (), (mKey, mLineage, mOffset))

/** A piece of the answer, starting at byte `mOffset`. */
struct PieceMessage
{
  RequestKey mKey;
  AttemptNumber mLineage;
  std::uint64_t mOffset = 0;
  std::string mText;

  auto operator<=>(const PieceMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(PieceMessage, (), (mKey, mLineage, mOffset, mText))

/** The request has ended; its outcome is committed. */
struct EndedMessage
{
  RequestKey mKey;
  ledger::Outcome mOutcome;

  auto operator<=>(const EndedMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(EndedMessage, (), (mKey, mOutcome))

/** The sender does not run this request; the receiver must read the ledger
 * again. */
struct NotExecutorMessage
{
  RequestKey mKey;

  auto operator<=>(const NotExecutorMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(NotExecutorMessage, (), (mKey))

/** A leaving executor requests that another entry take over a request. */
struct HandOverMessage
{
  RequestKey mKey;
  AttemptNumber mExecutorTurn;

  auto operator<=>(const HandOverMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(HandOverMessage, (), (mKey, mExecutorTurn))

/** The sender has become the executor; the previous executor must stop. */
struct TakenOverMessage
{
  RequestKey mKey;
  AttemptNumber mExecutorTurn;

  auto operator<=>(const TakenOverMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(TakenOverMessage, (), (mKey, mExecutorTurn))

/** The recent demand of an entry's callers on a service, in requests per
 * second. */
struct DemandMessage
{
  ServiceName mService;
  std::map<CustomerName, double> mDemand;

  auto operator<=>(const DemandMessage&) const = default;
};
BOOST_DESCRIBE_STRUCT(DemandMessage, (), (mService, mDemand))

using RelayMessage = std::variant<FollowMessage,
                                  PieceMessage,
                                  EndedMessage,
                                  NotExecutorMessage,
                                  HandOverMessage,
                                  TakenOverMessage,
                                  DemandMessage>;

} // namespace peridotspool::request
