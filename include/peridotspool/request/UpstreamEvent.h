#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace peridotspool::request {

/** A piece of an answer, with the request and the attempt that the upstream
 * reports it for. */
struct UpstreamPiece
{
  std::string mRequest;
  AttemptNumber mAttempt;
  /** Index of the piece in the answer, from 0. */
  std::uint64_t mIndex = 0;
  std::string mText;
};

/** The answer is complete. */
struct UpstreamDone
{
  std::string mRequest;
  AttemptNumber mAttempt;
  /** A plain service's complete result; empty for an engine, which streams its
   * result. */
  std::string mResult;
  std::uint64_t mTokens = 0;
  std::uint64_t mCachedTokens = 0;
  /** Number of tokens that were computed a second time. */
  std::uint64_t mRecomputedTokens = 0;
};

/** The upstream refused the request. */
struct UpstreamRefused
{
  std::uint32_t mStatus = 0;
  /** True iff the upstream reported that it ran no part of the request. */
  bool mDidNotRun = false;
  /** True iff a resume was requested and the stream no longer exists. */
  bool mNoSuchStream = false;
  Duration mRetryAfter{ 0 };
};

/** The connection ended or timed out before the answer was complete. */
struct UpstreamBroken
{
  std::string mReason;
  /** False only if no byte of the request was written. */
  bool mMayHaveRun = true;
  bool mTimedOut = false;
};

/** The host has received a part of the response that is no event yet. */
struct UpstreamHeld
{
  /** All bytes that it holds of the response. */
  std::size_t mBytes = 0;
};

using UpstreamOutcome = std::variant<UpstreamPiece,
                                     UpstreamDone,
                                     UpstreamRefused,
                                     UpstreamBroken,
                                     UpstreamHeld>;

} // namespace peridotspool::request
