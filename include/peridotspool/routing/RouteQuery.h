#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/RequestKey.h"
#include "peridotspool/base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotspool::routing {

/** The properties of a request that the choice of its upstream depends on. */
struct RouteQuery
{
  RequestKey mKey;
  ServiceName mService;
  std::int32_t mPriority = 0;
  TimePoint mDeadline;
  /** Hashes of the prompt's leading blocks, longest prefix last. */
  std::vector<std::uint64_t> mPrefixBlocks;
  std::uint64_t mPromptTokens = 0;
  /** Upstreams that this request must not be sent to again. */
  std::vector<UpstreamName> mAvoid;
  /**
   * Target for the time to the first token. Time beyond it weighs more; zero
   * for none.
   */
  Duration mFirstTokenTarget{ 0 };
  /**
   * Only upstreams of this version may continue the answer; empty while it has
   * no text.
   */
  std::optional<VersionName> mVersion;
};

} // namespace peridotspool::routing
