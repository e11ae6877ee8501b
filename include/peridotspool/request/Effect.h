#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/ledger/Operation.h"
#include "peridotspool/request/RelayMessage.h"
#include "peridotspool/request/Tally.h"
#include "peridotspool/routing/RouteChoice.h"

#include <variant>
#include <vector>

namespace peridotspool::request {

/** Propose an operation to the ledger; its answer returns as an event. */
struct ProposeEffect
{
  CallId mCall;
  RequestKey mKey;
  ledger::Operation mOperation;
};

/** Start an answer, after what `mPrefix` holds already. */
struct GenerateMode
{
  /** Text that was delivered before, to be continued. */
  std::string mPrefix;
  /** How many pieces the prefix was. */
  std::uint64_t mFromIndex = 0;
};

/** Go on with a stream that still lives at the engine. */
struct ResumeMode
{
  std::uint64_t mFromIndex = 0;
};

using UpstreamMode = std::variant<GenerateMode, ResumeMode>;

/** Send the request to an upstream. */
struct StartUpstreamEffect
{
  CallId mCall;
  Address mAddress;
  routing::UpstreamKind mKind = routing::UpstreamKind::kModelEngine;
  /** The request's name towards upstreams. */
  std::string mRequest;
  AttemptNumber mAttempt;
  std::string mBody;
  std::int32_t mPriority = 0;
  UpstreamMode mMode;
};

/** Close the connection of an upstream call; no more of its events count. */
struct DropUpstreamEffect
{
  CallId mCall;
};

/** Tell the engine that an attempt is not wanted any more. */
struct CancelUpstreamEffect
{
  Address mAddress;
  routing::UpstreamKind mKind = routing::UpstreamKind::kModelEngine;
  std::string mRequest;
  AttemptNumber mAttempt;
};

/** The request is committed; the answer follows. */
struct AcceptedReply
{
  RequestKey mKey;
};

/** More of the answer; mOffset is where it starts. */
struct PieceReply
{
  AttemptNumber mLineage;
  std::uint64_t mOffset = 0;
  std::string mText;
};

/** The answer begins anew: what the caller had of it does not count. */
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

/** The entry is leaving; attach again through another. */
struct MovedReply
{};

/** No request of that name is known. */
struct NoSuchRequestReply
{};

/** The entry could not learn whether the request is accepted. */
struct StatusUnknownReply
{};

/** A cancel or an acknowledgement has been carried out. */
struct ConfirmedReply
{};

/** The record that an operator asked for. */
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

/** Why an upstream was chosen, kept by the host for `explain`. */
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
