#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/RequestKey.h"
#include "peridotspool/base/Time.h"

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace peridotspool::ledger {

/** The request as submitted by the caller. Immutable after acceptance. */
struct RequestTerms
{
  ServiceName mService;
  /** The JSON body as sent by the caller. */
  std::string mBody;
  /** Whether the request may run more than once. */
  bool mIdempotent = false;
  /** Priority from the settings; lower values are more urgent. */
  std::int32_t mPriority = 0;

  auto operator<=>(const RequestTerms&) const = default;
};
BOOST_DESCRIBE_STRUCT(RequestTerms,
                      (),
                      (mService, mBody, mIdempotent, mPriority))

/**
 * The right to send a request to one upstream. For a request that is not
 * idempotent, the intent is committed before the first byte is sent, and a
 * second intent is committed only if the first is known not to have run.
 */
struct DispatchIntent
{
  AttemptNumber mAttempt;
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  /**
   * Number of answer pieces that were sent along as a prefix; 0 if the answer
   * starts from the beginning.
   */
  std::uint64_t mFromIndex = 0;

  auto operator<=>(const DispatchIntent&) const = default;
};
BOOST_DESCRIBE_STRUCT(DispatchIntent,
                      (),
                      (mAttempt, mUpstream, mIncarnation, mFromIndex))

/**
 * Represents an intent that may have been committed and lost with all replicas
 * that held it. Greater than any real attempt number, and never voided.
 */
inline constexpr AttemptNumber kLostAttempt(1ULL << 32);

enum class OutcomeKind
{
  /** The upstream answered completely. */
  kAnswered,
  /** The request was abandoned and certainly did not run. */
  kRefused,
  /** The request is idempotent, may have run in part, and was abandoned. */
  kFailed,
  /**
   * The request is not idempotent and was sent; whether it ran is not known.
   */
  kUnknown,
  /** The caller cancelled the request. */
  kCancelled,
};
BOOST_DESCRIBE_ENUM(OutcomeKind,
                    kAnswered,
                    kRefused,
                    kFailed,
                    kUnknown,
                    kCancelled)

/**
 * The final answer to a request. The first committed outcome is permanent,
 * except that a refused request may be accepted again.
 */
struct Outcome
{
  OutcomeKind mKind = OutcomeKind::kRefused;
  /** HTTP status for the caller. */
  std::int32_t mStatus = 0;
  /** A machine-readable reason, empty for kAnswered. */
  std::string mReason;
  /** The complete answer text, or a human-readable error message. */
  std::string mBody;
  /** When the caller should retry; zero if a retry is pointless. */
  Duration mRetryAfter{ 0 };
  AttemptNumber mAttempt;
  UpstreamName mUpstream;
  /** The attempt that produced the answer's text from its beginning. */
  AttemptNumber mLineage;

  auto operator<=>(const Outcome&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  Outcome,
  (),
  (mKind, mStatus, mReason, mBody, mRetryAfter, mAttempt, mUpstream, mLineage))

/**
 * The replicated record of one request, identical on all replicas of its shard.
 */
struct RequestRecord
{
  RequestKey mKey;
  RequestTerms mTerms;
  /**
   * The executor: the entry that communicates with the upstream for this
   * request.
   */
  MemberId mExecutor;
  /**
   * The executor's ordinal number (its turn). Operations of an earlier turn are
   * rejected.
   */
  AttemptNumber mExecutorTurn;
  /** The last committed intent; empty before the first. */
  std::optional<DispatchIntent> mIntent;
  /** True iff the last intent is known not to have run. */
  bool mIntentVoid = false;
  /** Set by the first operation that ends the request. */
  std::optional<Outcome> mOutcome;

  auto operator<=>(const RequestRecord&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  RequestRecord,
  (),
  (mKey, mTerms, mExecutor, mExecutorTurn, mIntent, mIntentVoid, mOutcome))

} // namespace peridotspool::ledger
