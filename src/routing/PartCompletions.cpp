#include "peridotspool/routing/PartCompletions.h"

#include <algorithm>

namespace peridotspool::routing {

namespace {

constexpr Duration kRetention = std::chrono::minutes(10);
/** 64 KB, for 4,096 parts. */
constexpr std::size_t kSets = 1024;
/** A single prompt must not replace all that is remembered. */
constexpr std::size_t kMaxRecorded = 64;

} // namespace

PartCompletions::PartCompletions()
  : mSets(kSets)
{
}

// Ids are callers' numbers and may be consecutive.
std::size_t
PartCompletions::IndexOf(PromptPartId aPart) const
{
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15;
  constexpr int kShift = 32;
  return ((aPart.Value() * kMultiplier) >> kShift) % kSets;
}

void
PartCompletions::Record(const std::vector<PromptPartId>& aParts, TimePoint aNow)
{
  const std::size_t count = std::min(aParts.size(), kMaxRecorded);
  for (std::size_t i = 0; i < count; ++i) {
    Set& set = mSets[IndexOf(aParts[i])];
    const auto same =
      std::find_if(set.begin(), set.end(), [&](const Completion& aOne) {
        return aOne.mPart == aParts[i];
      });
    const auto oldest = std::min_element(
      set.begin(), set.end(), [](const auto& aOne, const auto& aOther) {
        return aOne.mCompletedAt < aOther.mCompletedAt;
      });
    *(same == set.end() ? oldest : same) = { .mPart = aParts[i],
                                             .mCompletedAt = aNow };
  }
}

std::optional<Duration>
PartCompletions::AgeOf(PromptPartId aPart, TimePoint aNow) const
{
  for (const Completion& completion : mSets[IndexOf(aPart)]) {
    if (aPart.IsSet() && completion.mPart == aPart) {
      const Duration age = aNow - completion.mCompletedAt;
      return age < kRetention ? std::optional(age) : std::nullopt;
    }
  }
  return std::nullopt;
}

} // namespace peridotspool::routing
