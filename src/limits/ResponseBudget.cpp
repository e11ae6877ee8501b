#include "peridotspool/limits/ResponseBudget.h"

#include <tuple>

namespace peridotspool::limits {

namespace {

/** The part of the total that one upstream gets, as a divisor. */
constexpr std::size_t kUpstreamDivisor = 2;

} // namespace

ResponseBudget::ResponseBudget(std::size_t aTotalBytes)
  : mTotalBytes(aTotalBytes)
{
}

void
ResponseBudget::Set(std::uint64_t aResponse,
                    const UpstreamName& aUpstream,
                    std::size_t aBytes)
{
  Remove(aResponse);
  if (aBytes == 0) {
    return;
  }
  mResponses.emplace(aResponse,
                     Held{ .mUpstream = aUpstream, .mBytes = aBytes });
  mUpstreamBytes[aUpstream] += aBytes;
  mBytes += aBytes;
}

void
ResponseBudget::Remove(std::uint64_t aResponse)
{
  const auto found = mResponses.find(aResponse);
  if (found == mResponses.end()) {
    return;
  }
  const Held& held = found->second;
  const auto upstream = mUpstreamBytes.find(held.mUpstream);
  upstream->second -= held.mBytes;
  if (upstream->second == 0) {
    mUpstreamBytes.erase(upstream);
  }
  mBytes -= held.mBytes;
  mResponses.erase(found);
}

std::optional<BudgetOverrun>
ResponseBudget::FindOverrun(const UpstreamName& aUpstream) const
{
  const auto upstream = mUpstreamBytes.find(aUpstream);
  if (upstream != mUpstreamBytes.end() &&
      upstream->second > mTotalBytes / kUpstreamDivisor) {
    return Largest(&aUpstream, ResponseBound::kUpstreamMemory);
  }
  if (mBytes > mTotalBytes) {
    return Largest(nullptr, ResponseBound::kTotalMemory);
  }
  return std::nullopt;
}

BudgetOverrun
ResponseBudget::Largest(const UpstreamName* aUpstream,
                        ResponseBound aBound) const
{
  BudgetOverrun largest{ .mBroken = { .mBound = aBound,
                                      .mPhase = ResponsePhase::kHeld } };
  for (const auto& [response, held] : mResponses) {
    const bool isCandidate =
      aUpstream == nullptr || held.mUpstream == *aUpstream;
    if (isCandidate &&
        std::tuple(held.mBytes, response) >
          std::tuple(largest.mBroken.mBytes, largest.mResponse)) {
      largest.mResponse = response;
      largest.mBroken.mBytes = held.mBytes;
    }
  }
  return largest;
}

} // namespace peridotspool::limits
