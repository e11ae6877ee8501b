#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/gateway/CoordinatorMap.h"
#include "peridotspool/gateway/LoadMessage.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace peridotspool::gateway {

/** An upstream that a request may go to. */
struct ShortlistedUpstream
{
  UpstreamName mName;
  FailureDomain mDomain;

  auto operator<=>(const ShortlistedUpstream&) const = default;
};

/** A query and the coordinator that it goes to. */
struct CoordinatorQuery
{
  Address mCoordinator;
  LoadQuery mQuery;

  auto operator<=>(const CoordinatorQuery&) const = default;
};

/** One request's queries to the coordinators of the upstreams it may go to. */
struct LoadQuerySet
{
  std::uint64_t mTag = 0;
  /** One for each coordinator. */
  std::vector<CoordinatorQuery> mQueries;

  auto operator<=>(const LoadQuerySet&) const = default;
};

/**
 * The pending whose answers an entry still waits for. How long it waits is
 * the caller's: what is not answered in time is done without.
 *
 * A pure step. Not thread-safe.
 */
class PendingLoadQueries
{
public:
  /** An querySet without queries means that there is nobody to ask. */
  LoadQuerySet Begin(const std::vector<ShortlistedUpstream>& aUpstreams,
                     const std::vector<PromptPart>& aParts,
                     const CoordinatorMap& aCoordinators);
  /** Returns true iff it was the last answer that its querySet waited for. */
  bool HandleResponse(const LoadResponse& aResponse);
  /** Nobody waits for it any more. */
  void Cancel(std::uint64_t aTag) { mPending.erase(aTag); }

  std::size_t PendingCount() const { return mPending.size(); }

private:
  /** Answers that are still to come, by tag. */
  std::unordered_map<std::uint64_t, std::size_t> mPending;
  std::uint64_t mLastTag = 0;
};

} // namespace peridotspool::gateway
