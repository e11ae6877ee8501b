#include "peridotspool/gateway/PendingLoadQueries.h"

#include <algorithm>

namespace peridotspool::gateway {

LoadQuerySet
PendingLoadQueries::Begin(const std::vector<ShortlistedUpstream>& aUpstreams,
                          const std::vector<PromptPart>& aParts,
                          const CoordinatorMap& aCoordinators)
{
  LoadQuerySet querySet{ .mTag = ++mLastTag, .mQueries = {} };
  auto& queries = querySet.mQueries;
  for (const ShortlistedUpstream& upstream : aUpstreams) {
    const auto coordinator =
      aCoordinators.CoordinatorOf(upstream.mName, upstream.mDomain);
    if (!coordinator) {
      continue;
    }
    auto query = std::find_if(
      queries.begin(), queries.end(), [&](const CoordinatorQuery& aOne) {
        return aOne.mCoordinator == *coordinator;
      });
    if (query == queries.end()) {
      queries.push_back({ .mCoordinator = *coordinator,
                          .mQuery = { .mTag = querySet.mTag,
                                      .mUpstreams = {},
                                      .mParts = aParts } });
      query = std::prev(queries.end());
    }
    query->mQuery.mUpstreams.push_back(upstream.mName);
  }
  if (!queries.empty()) {
    mPending[querySet.mTag] = queries.size();
  }
  return querySet;
}

bool
PendingLoadQueries::HandleResponse(const LoadResponse& aResponse)
{
  const auto pending = mPending.find(aResponse.mTag);
  if (pending == mPending.end() || --pending->second > 0) {
    return false;
  }
  mPending.erase(pending);
  return true;
}

} // namespace peridotspool::gateway
