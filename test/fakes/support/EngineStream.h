#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace peridotspool::fakes {

/** Which try of which request. */
struct AttemptName
{
  std::string mRequest;
  std::int64_t mAttempt = 0;

  auto operator<=>(const AttemptName&) const = default;
};

/** One answer that an engine makes. */
struct EngineStream
{
  AttemptName mName;
  std::string mPrompt;
  std::uint64_t mMaxTokens = 0;
  std::int64_t mPriority = 0;
  std::uint64_t mOrder = 0;
  std::uint64_t mCachedTokens = 0;
  std::uint64_t mRecomputedTokens = 0;
  /** Index of the next token to make. */
  std::uint64_t mNext = 0;
  /** Index of the next token to send on the connection. */
  std::uint64_t mNextToSend = 0;
  /** The exchange that reads it; 0 for none. */
  std::uint64_t mExchange = 0;
  bool mFirstConnection = true;
  bool mRunning = false;
  bool mFinished = false;
  bool mCrossed = false;
  std::int64_t mNextTokenAtMs = 0;
  /** When its connection was lost; meaningful without an exchange. */
  std::int64_t mOrphanSinceMs = 0;
};

} // namespace peridotspool::fakes
