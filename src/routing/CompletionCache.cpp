#include "peridotspool/routing/CompletionCache.h"

namespace peridotspool::routing {

namespace {

constexpr Duration kCompletionRetention = std::chrono::seconds(60);

} // namespace

void
CompletionCache::Record(const ContentId& aContent, TimePoint aNow)
{
  mSlots[aContent.mLow % kSlots] = { .mContent = aContent,
                                     .mCompletedAt = aNow };
}

std::optional<Duration>
CompletionCache::AgeOf(const ContentId& aContent, TimePoint aNow) const
{
  const auto& completion = mSlots[aContent.mLow % kSlots];
  if (!completion || completion->mContent != aContent ||
      aNow - completion->mCompletedAt >= kCompletionRetention) {
    return std::nullopt;
  }
  return aNow - completion->mCompletedAt;
}

} // namespace peridotspool::routing
