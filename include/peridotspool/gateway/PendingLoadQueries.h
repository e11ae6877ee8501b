#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/gateway/CoordinatorMap.h"
#include "peridotspool/gateway/LoadMessage.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace peridotspool::gateway {

/** A candidate upstream for a request. */
struct ShortlistedUpstream
{
  UpstreamName mName;
  FailureDomain mDomain;

  auto operator<=>(const ShortlistedUpstream&) const = default;
};

/** A query and the coordinator that receives it. */
struct CoordinatorQuery
{
  Address mCoordinator;
  LoadQuery mQuery;

  auto operator<=>(const CoordinatorQuery&) const = default;
};

/** The load queries of one request. */
struct LoadQuerySet
{
  std::uint64_t mTag = 0;
  /** One query for each coordinator. */
  std::vector<CoordinatorQuery> mQueries;

  auto operator<=>(const LoadQuerySet&) const = default;
};

/**
 * Load queries that await responses. The caller applies the timeout and
 * continues without the missing responses.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class PendingLoadQueries
{
public:
  /**
   * Starts the queries for aUpstreams, one for each coordinator. Returns no
   * queries if there are no coordinators.
   */
  LoadQuerySet Begin(const std::vector<ShortlistedUpstream>& aUpstreams,
                     const std::vector<PromptPart>& aParts,
                     const CoordinatorMap& aCoordinators);
  /**
   * Returns true iff this was the last response that its query set waited for.
   */
  bool HandleResponse(const LoadResponse& aResponse);
  /** Later responses to this query set are ignored. */
  void Cancel(std::uint64_t aTag) { mPending.erase(aTag); }

  std::size_t PendingCount() const { return mPending.size(); }

private:
  /** Number of missing responses, by tag. */
  std::unordered_map<std::uint64_t, std::size_t> mPending;
  std::uint64_t mLastTag = 0;
};

} // namespace peridotspool::gateway
