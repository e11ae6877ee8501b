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
  RequestKey key;
  ServiceName service;
  std::int32_t priority = 0;
  TimePoint deadline;
  /** Hashes of the prompt's leading blocks, longest prefix last. */
  std::vector<std::uint64_t> prefixBlocks;
  std::uint64_t promptTokens = 0;
  /** Upstreams that this request must not go to again. */
  std::vector<UpstreamName> avoid;
};

} // namespace peridotspool::routing
