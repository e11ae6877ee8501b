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

/** What a caller asked for; fixed from acceptance on. */
struct RequestTerms
{
  ServiceName mService;
  /** The JSON body as the caller sent it. */
  std::string mBody;
  /** May the request run more than once? */
  bool mIdempotent = false;
  /** Lower is more urgent; from the settings' priorities. */
  std::int32_t mPriority = 0;

  auto operator<=>(const RequestTerms&) const = default;
};
BOOST_DESCRIBE_STRUCT(RequestTerms,
                      (),
                      (mService, mBody, mIdempotent, mPriority))

/**
 * The right to send a request to one upstream. For a request that is not
 * idempotent it is committed before the first byte is sent, and no second one
 * is committed unless the first is known not to have run.
 */
struct DispatchIntent
{
  AttemptNumber mAttempt;
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  /** Pieces that were given along as a prefix; 0 from the beginning. */
  std::uint64_t mFromIndex = 0;

  auto operator<=>(const DispatchIntent&) const = default;
};
BOOST_DESCRIBE_STRUCT(DispatchIntent,
                      (),
                      (mAttempt, mUpstream, mIncarnation, mFromIndex))

/**
 * Stands for an intent that may have been committed and lost with all replicas
 * that held it: above any real attempt, and never voided.
 */
inline constexpr AttemptNumber kLostAttempt(1ULL << 32);

enum class OutcomeKind
{
  /** The upstream's whole answer. */
  kAnswered,
  /** Given up, and the request surely did not run. */
  kRefused,
  /** Given up after some of an idempotent request may have run. */
  kFailed,
  /** A request that may not run twice was sent, and its fate is not known. */
  kUnknown,
  /** The caller withdrew it. */
  kCancelled,
};
BOOST_DESCRIBE_ENUM(OutcomeKind,
                    kAnswered,
                    kRefused,
                    kFailed,
                    kUnknown,
                    kCancelled)

/** The final answer to a request; the first one committed stays. */
struct Outcome
{
  OutcomeKind mKind = OutcomeKind::kRefused;
  /** HTTP status for the caller. */
  std::int32_t mStatus = 0;
  /** A machine-readable reason, empty for kAnswered. */
  std::string mReason;
  /** The whole answer text, or a sentence for people. */
  std::string mBody;
  /** When to come back; zero where coming back makes no sense. */
  Duration mRetryAfter{ 0 };
  AttemptNumber mAttempt;
  UpstreamName mUpstream;
  /** The attempt at which the answer's text began from nothing. */
  AttemptNumber mLineage;

  auto operator<=>(const Outcome&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  Outcome,
  (),
  (mKind, mStatus, mReason, mBody, mRetryAfter, mAttempt, mUpstream, mLineage))

/** What the ledger keeps of one request, alike on all replicas of its shard. */
struct RequestRecord
{
  RequestKey mKey;
  RequestTerms mTerms;
  /** The entry that talks to the upstream for this request. */
  MemberId mExecutor;
  /** Counts the executors: a message of an earlier one is refused. */
  AttemptNumber mExecutorTurn;
  /** The last committed intent; empty before the first. */
  std::optional<DispatchIntent> mIntent;
  /** True iff the last intent is known not to have run. */
  bool mIntentVoid = false;
  /** Set once, by the first operation that ends the request. */
  std::optional<Outcome> mOutcome;

  auto operator<=>(const RequestRecord&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  RequestRecord,
  (),
  (mKey, mTerms, mExecutor, mExecutorTurn, mIntent, mIntentVoid, mOutcome))

} // namespace peridotspool::ledger
