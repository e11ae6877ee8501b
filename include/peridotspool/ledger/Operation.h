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
  /** True iff the system made the key for this call, so that it is new. */
  bool mKeyIsNew = false;

  auto operator<=>(const AcceptOperation&) const = default;
};
BOOST_DESCRIBE_STRUCT(AcceptOperation,
                      (),
                      (mTerms, mExecutor, mRemaining, mKeyIsNew))

/**
 * Takes the right to send the request to an upstream. Attempt numbers rise from
 * intent to intent, also over a takeover: kOldTurn otherwise.
 */
struct IntendOperation
{
  AttemptNumber mExecutorTurn;
  DispatchIntent mIntent;

  auto operator<=>(const IntendOperation&) const = default;
};
BOOST_DESCRIBE_STRUCT(IntendOperation, (), (mExecutorTurn, mIntent))

/**
 * Says that the intent of `attempt` surely did not run. One that was never
 * committed may be named too (its answer got lost); it is then turned down.
 */
struct VoidIntentOperation
{
  AttemptNumber mExecutorTurn;
  AttemptNumber mAttempt;

  auto operator<=>(const VoidIntentOperation&) const = default;
};
BOOST_DESCRIBE_STRUCT(VoidIntentOperation, (), (mExecutorTurn, mAttempt))

/**
 * Ends the request; refused when an outcome stands or the turn is old, and with
 * kMayHaveRun when it says kRefused ("did not run") against a standing intent.
 */
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

/**
 * The caller withdraws the request. The outcome's reason is
 * "cancelled-may-have-run" iff an intent stood, else "cancelled-did-not-run".
 */
struct CancelOperation
{
  auto operator<=>(const CancelOperation&) const = default;
};
BOOST_DESCRIBE_STRUCT(CancelOperation, (), ())

/**
 * Drops a finished request's kept answer. An acknowledged one leaves a marker
 * without texts until its retention ends, so that a late duplicate of the
 * request is not run as new; an unfinished one is left alone (kKnown).
 */
struct ForgetOperation
{
  /** Set by the primary only: the retention is over, drop the marker too. */
  bool mExpired = false;

  auto operator<=>(const ForgetOperation&) const = default;
};
BOOST_DESCRIBE_STRUCT(ForgetOperation, (), (mExpired))

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
  /**
   * Nothing is known of the key, and records of its shard may have been lost
   * with all of their replicas: the request may have been accepted and run.
   */
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

/**
 * The ledger's answer to an operation, with the record as committed. A kDone to
 * anything but an accept, a takeover or a read leaves the record's texts (the
 * request's and the outcome's body) empty: the asker has them.
 */
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
