#include "peridotspool/routing/AnswerMemory.h"

namespace peridotspool::routing {

namespace {

constexpr Duration kRememberedFor = std::chrono::seconds(60);

} // namespace

void
AnswerMemory::Note(const ContentId& aContent, TimePoint aNow)
{
  mAnswers[aContent.mLow % kPlaces] = { .mContent = aContent, .mAt = aNow };
}

std::optional<Duration>
AnswerMemory::AgeOf(const ContentId& aContent, TimePoint aNow) const
{
  const auto& answer = mAnswers[aContent.mLow % kPlaces];
  if (!answer || answer->mContent != aContent ||
      aNow - answer->mAt >= kRememberedFor) {
    return std::nullopt;
  }
  return aNow - answer->mAt;
}

} // namespace peridotspool::routing
