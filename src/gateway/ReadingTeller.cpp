#include "peridotspool/gateway/ReadingTeller.h"

#include <utility>

namespace peridotspool::gateway {

namespace {

/** Prompts below it are read before the others have heard of them. */
constexpr std::uint64_t kLeastTokens = 1500;
/** An entry sends 167 messages a second at most, and takes as many: at 150
 * bytes each, 25 KB a second each way, however many entries there are. */
constexpr Duration kSpacingEach = std::chrono::milliseconds(6);

} // namespace

Duration
ReadingTeller::Spacing() const
{
  return kSpacingEach * static_cast<Duration::rep>(mPeers);
}

std::optional<ReadingNews>
ReadingTeller::Add(const UpstreamName& aUpstream,
                   std::uint64_t aTokens,
                   TimePoint aNow)
{
  if (aTokens < kLeastTokens || mPeers == 0) {
    return std::nullopt;
  }
  mGathered[aUpstream] += aTokens;
  return Tick(aNow);
}

std::optional<ReadingNews>
ReadingTeller::Tick(TimePoint aNow)
{
  if (mGathered.empty() || aNow - mToldAt < Spacing()) {
    return std::nullopt;
  }
  mToldAt = aNow;
  ReadingNews news;
  for (const auto& [upstream, tokens] : std::exchange(mGathered, {})) {
    news.mLines.push_back({ .mUpstream = upstream, .mTokens = tokens });
  }
  return news;
}

} // namespace peridotspool::gateway
