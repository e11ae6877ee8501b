#include "peridotspool/gateway/PrefixCacheModel.h"

#include <cstddef>

namespace peridotspool::gateway {

namespace {

/** Bounds the memory used by parts that claim to have no tokens. */
constexpr std::size_t kMaxParts = 4096;

} // namespace

// Goes from the last part to the first, so that a part is always evicted before
// those that precede it: without them it cannot be reused.
void
PrefixCacheModel::RecordUse(const std::vector<PromptPart>& aParts,
                            std::uint64_t aMaxTokens)
{
  for (auto part = aParts.rbegin(); part != aParts.rend(); ++part) {
    const auto position = mPositions.find(part->mId);
    if (position != mPositions.end()) {
      mParts.splice(mParts.begin(), mParts, position->second);
      continue;
    }
    mParts.push_front(*part);
    mPositions[part->mId] = mParts.begin();
    mTokens += part->mTokens;
  }
  while (!mParts.empty() &&
         (mTokens > aMaxTokens || mParts.size() > kMaxParts)) {
    mTokens -= mParts.back().mTokens;
    mPositions.erase(mParts.back().mId);
    mParts.pop_back();
  }
}

std::uint64_t
PrefixCacheModel::CachedTokens(const std::vector<PromptPart>& aParts) const
{
  std::uint64_t cached = 0;
  for (const PromptPart& part : aParts) {
    if (!mPositions.contains(part.mId)) {
      break;
    }
    cached += part.mTokens;
  }
  return cached;
}

} // namespace peridotspool::gateway
