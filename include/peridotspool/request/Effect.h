#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/ledger/Operation.h"
#include "peridotspool/request/RelayMessage.h"
#include "peridotspool/request/Tally.h"
#include "peridotspool/routing/RouteChoice.h"

#include <variant>
#include <vector>

namespace peridotspool::request {

/** Proposes an operation to the ledger; the result arrives as a
 * LedgerAnsweredEvent. */
struct ProposeEffect
{
  CallId mCall;
  RequestKey mKey;
  ledger::Operation mOperation;
};

/** Generates the answer, continuing after `mPrefix`. */
struct GenerateMode
{
  /** The text generated so far, which the engine continues. */
  std::string mPrefix;
  /** Number of pieces in the prefix. */
  std::uint64_t mFromIndex = 0;
};

/** Resumes a stream that still exists at the engine. */
struct ResumeMode
{
  std::uint64_t mFromIndex = 0;
};

using UpstreamMode = std::variant<GenerateMode, ResumeMode>;

/** Sends the request to an upstream. */
struct StartUpstreamEffect
{
  CallId mCall;
  Address mAddress;
  routing::UpstreamKind mKind = routing::UpstreamKind::kModelEngine;
  /** The request's identifier in upstream calls. */
  std::string mRequest;
  AttemptNumber mAttempt;
  std::string mBody;
  std::int32_t mPriority = 0;
  UpstreamMode mMode;
};

/** Closes the connection of an upstream call; its later events are ignored. */
struct DropUpstreamEffect
{
  CallId mCall;
};

/** Notifies the upstream that an attempt is cancelled. */
struct CancelUpstreamEffect
{
  Address mAddress;
  routing::UpstreamKind mKind = routing::UpstreamKind::kModelEngine;
  std::string mRequest;
  AttemptNumber mAttempt;
};

/** The request is accepted and committed; the answer follows. */
struct AcceptedReply
{
  RequestKey mKey;
};

/** The next part of the answer, starting at byte `mOffset`. */
struct PieceReply
{
  AttemptNumber mLineage;
  std::uint64_t mOffset = 0;
  std::string mText;
};

/** The answer restarts; the caller discards the text it received so far. */
struct RestartReply
{
  AttemptNumber mLineage;
};

/** The final answer. */
struct FinalReply
{
  ledger::Outcome mOutcome;
  /** The entry that ran the request. */
  MemberId mExecutor;
};

/** The entry is leaving, or its membership ended; the caller must attach
 * through another entry. */
struct MovedReply
{};

/** The ledger holds no request with this key. */
struct NoSuchRequestReply
{};

/** The entry could not determine the state of the request, for example whether
 * it is accepted. */
struct StatusUnknownReply
{};

/** A cancellation or an acknowledgement was committed. */
struct ConfirmedReply
{};

/** The record that an operator requested. */
struct RecordReply
{
  ledger::RequestRecord mRecord;
};

using Reply = std::variant<AcceptedReply,
                           PieceReply,
                           RestartReply,
                           FinalReply,
                           MovedReply,
                           NoSuchRequestReply,
                           StatusUnknownReply,
                           ConfirmedReply,
                           RecordReply>;

struct ReplyEffect
{
  CallId mExchange;
  Reply mReply;
};

struct RelayEffect
{
  MemberId mTo;
  RelayMessage mMessage;
};

struct CountEffect
{
  Tally mTally = Tally::kAccepted;
  std::uint64_t mAmount = 1;
};

/** Why an upstream was chosen; the host stores it for `explain`. */
struct ExplainEffect
{
  RequestKey mKey;
  AttemptNumber mAttempt;
  routing::RouteChoice mChoice;
};

using Effect = std::variant<ProposeEffect,
                            StartUpstreamEffect,
                            DropUpstreamEffect,
                            CancelUpstreamEffect,
                            ReplyEffect,
                            RelayEffect,
                            CountEffect,
                            ExplainEffect>;
using Effects = std::vector<Effect>;

} // namespace peridotspool::request
