#include "peridotspool/routing/EngineUrgency.h"

#include <xxhash.h>

#include <algorithm>

namespace peridotspool::routing {

namespace {

/** The last level is kept for requests that cannot be on time any more. */
constexpr unsigned kLateLevel = 9;
/** Levels of a priority: without slack, with slack, over the share. */
constexpr unsigned kMaxBand = 3;
/** A request with slack is on time even if it takes twice as long as expected;
 * most late requests were expected within 0.7 of their objective. */
constexpr int kSlackFactor = 2;
/** Estimates are this wrong often, and a request that is wrongly taken for a
 * late one becomes late by that. */
constexpr double kLateFactor = 1.5;
constexpr std::uint32_t kWholeSharePercent = 100;
/** Makes the choice independent of other uses of the request's seed. */
constexpr XXH64_hash_t kReserveSeed = 0x5ca1ab1eU;

bool
IsReserved(const UrgencyQuery& aQuery)
{
  const bool isLowest =
    aQuery.mRankCount > 1 && aQuery.mRank + 1 >= aQuery.mRankCount;
  if (!isLowest) {
    return false;
  }
  constexpr std::uint64_t kSteps = 1U << 20U;
  const std::uint64_t step =
    XXH3_64bits_withSeed(&aQuery.mSeed, sizeof(aQuery.mSeed), kReserveSeed) %
    kSteps;
  return static_cast<double>(step) <
         aQuery.mReservedShare * static_cast<double>(kSteps);
}

bool
IsLate(const UrgencyQuery& aQuery)
{
  if (!aQuery.mTimeLeft || aQuery.mIsResumed) {
    return false;
  }
  if (*aQuery.mTimeLeft <= Duration(0)) {
    return true;
  }
  return aQuery.mExpectedFirstEvent &&
         std::chrono::duration<double>(*aQuery.mExpectedFirstEvent) >
           kLateFactor * std::chrono::duration<double>(*aQuery.mTimeLeft);
}

// Without an objective nobody waits for the first event.
bool
HasSlack(const UrgencyQuery& aQuery)
{
  if (aQuery.mIsResumed) {
    return false;
  }
  return !aQuery.mTimeLeft ||
         (aQuery.mExpectedFirstEvent &&
          kSlackFactor * *aQuery.mExpectedFirstEvent <= *aQuery.mTimeLeft);
}

} // namespace

const char*
ToText(UrgencyReason aReason)
{
  switch (aReason) {
    case UrgencyReason::kNoSlack:
      return "no_slack";
    case UrgencyReason::kSlack:
      return "slack";
    case UrgencyReason::kOverShare:
      return "over_share";
    case UrgencyReason::kLate:
      return "late";
    case UrgencyReason::kReserved:
      return "reserved";
    case UrgencyReason::kSmall:
      return "small";
  }
  return "unknown";
}

// Each priority has levels of its own, in order, so that no large prompt passes
// one of a higher priority. Small prompts of customers within their shares pass
// all: behind the backlog of large prompts they would be late, and letting them
// pass delays the others by a few tens of milliseconds. With more than three
// priorities there are fewer levels each, and with more than nine some share a
// level.
Urgency
DecideUrgency(const UrgencyQuery& aQuery)
{
  if (IsReserved(aQuery)) {
    return { .mLevel = 0, .mReason = UrgencyReason::kReserved };
  }
  if (IsLate(aQuery)) {
    return { .mLevel = kLateLevel, .mReason = UrgencyReason::kLate };
  }
  const std::uint64_t count = std::max(1U, aQuery.mRankCount);
  const std::uint64_t rank = std::min<std::uint64_t>(aQuery.mRank, count - 1);
  const auto first = static_cast<unsigned>(rank * kLateLevel / count);
  const auto next = static_cast<unsigned>((rank + 1) * kLateLevel / count);
  const unsigned band = std::clamp(next - first, 1U, kMaxBand);
  if (aQuery.mSharePercent.value_or(0) > kWholeSharePercent) {
    return { .mLevel = first + band - 1, .mReason = UrgencyReason::kOverShare };
  }
  if (aQuery.mPromptTokens < kSmallPromptTokens) {
    return { .mLevel = 0, .mReason = UrgencyReason::kSmall };
  }
  if (HasSlack(aQuery)) {
    // The last level of a priority is for customers over their share.
    const unsigned later = band == kMaxBand ? 1 : 0;
    return { .mLevel = first + later, .mReason = UrgencyReason::kSlack };
  }
  return { .mLevel = first, .mReason = UrgencyReason::kNoSlack };
}

} // namespace peridotspool::routing
