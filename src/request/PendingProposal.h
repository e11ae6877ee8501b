#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/RequestKey.h"

#include <variant>

namespace peridotspool::request {

/** A caller's exchange waits for its request to be accepted. */
struct AcceptPending
{
  CallId mExchange;
};

/** The record is read to learn who runs the request, or how it ended. */
struct ResolvePending
{};

/** This entry asks to become the executor. */
struct TakeOverPending
{
  /** The executor that is replaced; told so if it still lives. */
  MemberId mFrom;
};

/** A caller waits for a cancel or an acknowledgement. */
struct ConfirmPending
{
  CallId mExchange;
};

/** An operator waits to see the record. */
struct ShowPending
{
  CallId mExchange;
};

/** The proposal belongs to the request's execution. */
struct ExecutionPending
{};

/** Whom the ledger's answer is for. */
struct PendingProposal
{
  RequestKey mKey;
  std::variant<AcceptPending,
               ResolvePending,
               TakeOverPending,
               ConfirmPending,
               ShowPending,
               ExecutionPending>
    mPurpose;
};

} // namespace peridotspool::request
