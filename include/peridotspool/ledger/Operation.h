#pragma once

#include "peridotspool/ledger/RequestRecord.h"

#include <variant>

namespace peridotspool::ledger {

/** Accepts a request; on a known key it changes nothing and returns it. */
struct AcceptOperation
{
  RequestTerms mTerms;
  /** The entry that will run it first. */
  MemberId mExecutor;
  /** How long from now until its deadline. */
  Duration mRemaining{ 0 };

  auto operator<=>(const AcceptOperation&) const = default;
};
BOOST_DESCRIBE_STRUCT(AcceptOperation, (), (mTerms, mExecutor, mRemaining))

/** Takes the right to send the request to an upstream. */
struct IntendOperation
{
  AttemptNumber mExecutorTurn;
  DispatchIntent mIntent;

  auto operator<=>(const IntendOperation&) const = default;
};
BOOST_DESCRIBE_STRUCT(IntendOperation, (), (mExecutorTurn, mIntent))

/** Says that the intent of `attempt` surely did not run. */
struct VoidIntentOperation
{
  AttemptNumber mExecutorTurn;
  AttemptNumber mAttempt;

  auto operator<=>(const VoidIntentOperation&) const = default;
};
BOOST_DESCRIBE_STRUCT(VoidIntentOperation, (), (mExecutorTurn, mAttempt))

/** Ends the request; refused when an outcome stands or the turn is old. */
struct FinishOperation
{
  AttemptNumber mExecutorTurn;
  Outcome mOutcome;

  auto operator<=>(const FinishOperation&) const = default;
};
BOOST_DESCRIBE_STRUCT(FinishOperation, (), (mExecutorTurn, mOutcome))

/** Makes another entry the executor, with the next turn. */
struct TakeOverOperation
{
  /** The turn that the proposer saw; refused if another has begun. */
  AttemptNumber mExecutorTurn;
  MemberId mExecutor;

  auto operator<=>(const TakeOverOperation&) const = default;
};
BOOST_DESCRIBE_STRUCT(TakeOverOperation, (), (mExecutorTurn, mExecutor))

/** The caller withdraws the request. */
struct CancelOperation
{
  auto operator<=>(const CancelOperation&) const = default;
};
BOOST_DESCRIBE_STRUCT(CancelOperation, (), ())

/** Drops a finished request's kept answer (acknowledged or past retention). */
struct ForgetOperation
{
  auto operator<=>(const ForgetOperation&) const = default;
};
BOOST_DESCRIBE_STRUCT(ForgetOperation, (), ())

/** Reads the record under the shard's current epoch; changes nothing. */
struct ReadOperation
{
  auto operator<=>(const ReadOperation&) const = default;
};
BOOST_DESCRIBE_STRUCT(ReadOperation, (), ())

using Operation = std::variant<AcceptOperation,
                               IntendOperation,
                               VoidIntentOperation,
                               FinishOperation,
                               TakeOverOperation,
                               CancelOperation,
                               ForgetOperation,
                               ReadOperation>;

/** How the ledger answered an operation. */
enum class Verdict
{
  /** Committed (or, for a read, confirmed). */
  kDone,
  /** An accept of a known key: nothing changed, the record is returned. */
  kKnown,
  kNoSuchRequest,
  /** Another executor has taken over. */
  kOldTurn,
  /** An outcome stands already; the record holds it. */
  kFinished,
  /** A request that may not run twice has an intent that may have run. */
  kMayHaveRun,
  /** The shard holds all that it may; nothing was accepted. */
  kFull,
  /** The key is known with other terms. */
  kOtherTerms,
  /** No answer in time; the operation may or may not take effect. */
  kNoAnswer,
  /** The shard's records were lost with all of their replicas. */
  kLost,
};
BOOST_DESCRIBE_ENUM(Verdict,
                    kDone,
                    kKnown,
                    kNoSuchRequest,
                    kOldTurn,
                    kFinished,
                    kMayHaveRun,
                    kFull,
                    kOtherTerms,
                    kNoAnswer,
                    kLost)

/** The ledger's answer to an operation, with the record as committed. */
struct OperationAnswer
{
  Verdict mVerdict = Verdict::kNoAnswer;
  std::optional<RequestRecord> mRecord;
  /** Time left to the request's deadline when the answer was made. */
  Duration mRemaining{ 0 };

  auto operator<=>(const OperationAnswer&) const = default;
};
BOOST_DESCRIBE_STRUCT(OperationAnswer, (), (mVerdict, mRecord, mRemaining))

} // namespace peridotspool::ledger
