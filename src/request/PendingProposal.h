#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/RequestKey.h"

#include <variant>

namespace peridotspool::request {

/** A caller's exchange waits for the acceptance of its request. */
struct AcceptPending
{
  CallId mExchange;
};

/** The record is read to find the request's executor or outcome. */
struct ResolvePending
{};

/** This entry has proposed itself as the executor. */
struct TakeOverPending
{
  /** The replaced executor, which is notified if it is still a member. */
  MemberId mFrom;
};

/** A caller waits for the commit of a cancellation or an acknowledgement. */
struct ConfirmPending
{
  CallId mExchange;
};

/** An operator waits for the record. */
struct ShowPending
{
  CallId mExchange;
};

/** The proposal belongs to the request's execution. */
struct ExecutionPending
{};

/** The purpose of a proposal; determines who handles the ledger's answer. */
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
