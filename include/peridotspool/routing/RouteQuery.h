#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/RequestKey.h"
#include "peridotspool/base/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotspool::routing {

/** What the router needs to know of a request to choose its upstream. */
struct RouteQuery
{
  RequestKey mKey;
  ServiceName mService;
  std::int32_t mPriority = 0;
  TimePoint mDeadline;
  /** Hashes of the prompt's leading blocks, longest prefix last. */
  std::vector<std::uint64_t> mPrefixBlocks;
  std::uint64_t mPromptTokens = 0;
  /** Upstreams that this request must not go to again. */
  std::vector<UpstreamName> mAvoid;
  /** Waiting beyond this weighs more; zero for no target. */
  Duration mFirstTokenTarget{ 0 };
};

} // namespace peridotspool::routing
