#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <cstdint>
#include <string>
#include <variant>

namespace peridotspool::request {

/** A piece of an answer, with the request and attempt that the upstream says
 * it belongs to. */
struct UpstreamPiece
{
  std::string mRequest;
  AttemptNumber mAttempt;
  /** Place of the piece in the answer, from 0. */
  std::uint64_t mIndex = 0;
  std::string mText;
};

/** The answer is complete. */
struct UpstreamDone
{
  std::string mRequest;
  AttemptNumber mAttempt;
  /** A plain service's whole result; empty from an engine that streamed. */
  std::string mResult;
  std::uint64_t mTokens = 0;
  std::uint64_t mCachedTokens = 0;
  /** Tokens that had to be computed a second time. */
  std::uint64_t mRecomputedTokens = 0;
};

/** The upstream turned the request down. */
struct UpstreamRefused
{
  std::uint32_t mStatus = 0;
  /** True iff the upstream said that nothing of it ran. */
  bool mDidNotRun = false;
  /** True iff a resume was asked for and the stream is not there any more. */
  bool mNoSuchStream = false;
  Duration mRetryAfter{ 0 };
};

/** The connection ended or went silent before the answer was complete. */
struct UpstreamBroken
{
  std::string mReason;
  /** False proves that no byte of the request was written. */
  bool mMayHaveRun = true;
  bool mTimedOut = false;
};

using UpstreamOutcome =
  std::variant<UpstreamPiece, UpstreamDone, UpstreamRefused, UpstreamBroken>;

} // namespace peridotspool::request
