#pragma once

#include "peridotspool/base/Time.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace peridotspool::routing {

/** Why a request has its level. */
enum class UrgencyReason
{
  /** Has to start at once to be on time. */
  kNoSlack,
  /** Is still on time if it starts later. */
  kSlack,
  /** Its customer uses more than its share. */
  kOverShare,
  /** Cannot be on time any more. */
  kLate,
  /** Belongs to the share of starts that the lowest priority keeps. */
  kReserved,
  /** Its prompt is so small that it hardly delays any other. */
  kSmall,
};

/** Prompts with fewer tokens hardly delay others: an engine prefills one
 * between two tokens of the streams that it generates. */
constexpr std::uint64_t kSmallPromptTokens = 3000;

/** Returns the reason as written to logs. */
const char*
ToText(UrgencyReason aReason);

struct UrgencyQuery
{
  /** Position of the request's priority among the configured ones; 0 is the
   * highest. */
  std::uint32_t mRank = 0;
  /** Number of different priorities that are configured; at least 1. */
  std::uint32_t mRankCount = 1;
  /** Time left to the latency objective; empty if there is none. */
  std::optional<Duration> mTimeLeft;
  /** Its caller has received a part of the stream, and waits for the rest. */
  bool mIsResumed = false;
  /** Expected time to the first event; empty if the load is unknown. */
  std::optional<Duration> mExpectedFirstEvent;
  std::uint64_t mPromptTokens = 0;
  /** What the customer used lately, in percent of its share; empty if unknown.
   */
  std::optional<std::uint32_t> mSharePercent;
  /** Share of its requests that the lowest priority keeps at the best level. */
  double mReservedShare = 0.0;
  /** Derived from the request's id. */
  std::uint64_t mSeed = 0;

  auto operator<=>(const UrgencyQuery&) const = default;
};

struct Urgency
{
  /** 0 to 9; an engine admits lower levels first. */
  unsigned mLevel = 0;
  UrgencyReason mReason = UrgencyReason::kNoSlack;

  auto operator<=>(const Urgency&) const = default;
};

/** Decides how urgent a request is told to an engine to be. */
Urgency
DecideUrgency(const UrgencyQuery& aQuery);

} // namespace peridotspool::routing
