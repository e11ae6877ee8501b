#include "peridotspool/gateway/PrefixMemory.h"

#include <cstddef>

namespace peridotspool::gateway {

namespace {

/** A bound for parts that claim to have no tokens. */
constexpr std::size_t kMostParts = 4096;

} // namespace

// From the last part to the first, so that a part never outlives those before
// it: without them it is of no use.
void
PrefixMemory::Use(const std::vector<PromptPart>& aParts, std::uint64_t aMost)
{
  for (auto part = aParts.rbegin(); part != aParts.rend(); ++part) {
    const auto place = mPlaces.find(part->mId);
    if (place != mPlaces.end()) {
      mParts.splice(mParts.begin(), mParts, place->second);
      continue;
    }
    mParts.push_front(*part);
    mPlaces[part->mId] = mParts.begin();
    mTokens += part->mTokens;
  }
  while (!mParts.empty() && (mTokens > aMost || mParts.size() > kMostParts)) {
    mTokens -= mParts.back().mTokens;
    mPlaces.erase(mParts.back().mId);
    mParts.pop_back();
  }
}

std::uint64_t
PrefixMemory::Kept(const std::vector<PromptPart>& aParts) const
{
  std::uint64_t kept = 0;
  for (const PromptPart& part : aParts) {
    if (!mPlaces.contains(part.mId)) {
      break;
    }
    kept += part.mTokens;
  }
  return kept;
}

} // namespace peridotspool::gateway
