#pragma once

#include "peridotspool/ledger/RequestRecord.h"

#include <variant>

namespace peridotspool::ledger {

/**
 * Accepts a request. If the key is known, the operation changes nothing and
 * returns the record, except that a refused request may be accepted again.
 */
struct AcceptOperation
{
  RequestTerms mTerms;
  /** The first executor of the request. */
  MemberId mExecutor;
  /** Time left until the request's deadline. */
  Duration mRemaining{ 0 };
  /**
   * True iff the system generated the key for this call, so the key cannot have
   * been used before.
   */
  bool mKeyIsNew = false;

  auto operator<=>(const AcceptOperation&) const = default;
};
BOOST_DESCRIBE_STRUCT(AcceptOperation,
                      (),
                      (mTerms, mExecutor, mRemaining, mKeyIsNew))

/**
 * Acquires the right to send the request to an upstream. Attempt numbers must
 * increase from intent to intent, also across a takeover; otherwise the verdict
 * is kOldTurn.
 */
struct IntendOperation
{
  AttemptNumber mExecutorTurn;
  DispatchIntent mIntent;

  auto operator<=>(const IntendOperation&) const = default;
};
BOOST_DESCRIBE_STRUCT(IntendOperation, (), (mExecutorTurn, mIntent))

/**
 * Declares that the intent with number mAttempt certainly did not run. The
 * intent may be one that was never committed, because its answer may have been
 * lost; if it arrives later, it is rejected.
 */
struct VoidIntentOperation
{
  AttemptNumber mExecutorTurn;
  AttemptNumber mAttempt;

  auto operator<=>(const VoidIntentOperation&) const = default;
};
BOOST_DESCRIBE_STRUCT(VoidIntentOperation, (), (mExecutorTurn, mAttempt))

/**
 * Ends the request. Rejected if the request already has an outcome or the
 * executor turn is old, and rejected with kMayHaveRun if the outcome is
 * kRefused ("did not run") while an intent stands.
 */
struct FinishOperation
{
  AttemptNumber mExecutorTurn;
  Outcome mOutcome;

  auto operator<=>(const FinishOperation&) const = default;
};
BOOST_DESCRIBE_STRUCT(FinishOperation, (), (mExecutorTurn, mOutcome))

/** Makes another entry the executor and increments the executor turn. */
struct TakeOverOperation
{
  /**
   * The turn that the proposer read; the operation is rejected if the turn has
   * changed since.
   */
  AttemptNumber mExecutorTurn;
  MemberId mExecutor;

  auto operator<=>(const TakeOverOperation&) const = default;
};
BOOST_DESCRIBE_STRUCT(TakeOverOperation, (), (mExecutorTurn, mExecutor))

/**
 * Cancels the request for its caller. The outcome's reason is
 * "cancelled-may-have-run" if an intent stands, and "cancelled-did-not-run"
 * otherwise.
 */
struct CancelOperation
{
  auto operator<=>(const CancelOperation&) const = default;
};
BOOST_DESCRIBE_STRUCT(CancelOperation, (), ())

/**
 * Deletes the stored answer of a finished request. A marker without texts
 * remains until the retention ends, so that a late duplicate of the request
 * does not run as a new one. An unfinished request does not change (kKnown).
 */
struct ForgetOperation
{
  /**
   * Set only by the primary when the retention has ended: the marker is deleted
   * too.
   */
  bool mExpired = false;

  auto operator<=>(const ForgetOperation&) const = default;
};
BOOST_DESCRIBE_STRUCT(ForgetOperation, (), (mExpired))

/**
 * Reads the record, confirmed under the shard's current epoch. Changes nothing.
 */
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

/** The result of an operation. */
enum class Verdict
{
  /** Committed (or, for a read, confirmed). */
  kDone,
  /** An accept of a known key. Nothing changes and the record is returned. */
  kKnown,
  kNoSuchRequest,
  /**
   * The executor turn or the attempt number is out of date, for example because
   * another executor has taken over.
   */
  kOldTurn,
  /** The request already has an outcome, which the record holds. */
  kFinished,
  /** The request is not idempotent and has an intent that may have run. */
  kMayHaveRun,
  /** The memory limit is reached; nothing was accepted. */
  kFull,
  /** The key is known, but with different request terms. */
  kOtherTerms,
  /** No answer arrived in time; the operation may or may not take effect. */
  kNoAnswer,
  /**
   * The key is unknown, or is known only as refused, and records of its shard
   * may have been lost with all of their replicas: the request may have been
   * accepted and run.
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
 * The answer to an operation, with the record as committed. For kDone, the
 * texts of the record that the requester already has are empty: the request's
 * body except after a takeover or a read, and the outcome's body except after
 * an accept, a takeover or a read.
 */
struct OperationAnswer
{
  Verdict mVerdict = Verdict::kNoAnswer;
  std::optional<RequestRecord> mRecord;
  /** Time left until the request's deadline when the answer was created. */
  Duration mRemaining{ 0 };

  auto operator<=>(const OperationAnswer&) const = default;
};
BOOST_DESCRIBE_STRUCT(OperationAnswer, (), (mVerdict, mRecord, mRemaining))

} // namespace peridotspool::ledger
