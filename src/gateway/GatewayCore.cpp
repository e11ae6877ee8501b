#include "gateway/GatewayCore.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** Contents named in one log line. */
constexpr std::size_t kMostNamed = 8;

std::string
ContentsOf(const routing::EndedLife& aEnded)
{
  std::string text;
  const std::size_t named = std::min(kMostNamed, aEnded.mLost.size());
  for (std::size_t i = 0; i < named; ++i) {
    text += (i == 0 ? "" : ",") + ToText(aEnded.mLost[i].mContent);
  }
  return text;
}

} // namespace

void
GatewayCore::NoteRefused(const routing::UpstreamLife& aLife)
{
  if (const auto ended = mWitness.Refused(aLife, mNow())) {
    NoteEnded(*ended);
  }
}

void
GatewayCore::NoteEnded(const routing::EndedLife& aEnded)
{
  mCounters.Add(observe::CounterId::kUpstreamEnded);
  mLogger.Log(
    observe::EventId::kUpstreamEnded,
    { { "upstream", aEnded.mLife.mName },
      { "incarnation", aEnded.mLife.mIncarnation },
      { "shown_by",
        aEnded.mShownBy == routing::EndShownBy::kNextLife ? "its next life"
                                                          : "a refusal" },
      { "lost", aEnded.mLost.size() },
      { "contents", ContentsOf(aEnded) } });
}

} // namespace peridotspool::gateway
