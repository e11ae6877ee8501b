#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/routing/UpstreamReport.h"

#include <string>
#include <vector>

namespace peridotspool::routing {

/** One upstream that was weighed, with the parts of its score. */
struct CandidateScore
{
  UpstreamName upstream;
  Duration expectedFirstToken{ 0 };
  std::uint64_t cachedTokens = 0;
  double latencyPart = 0;
  double costPart = 0;
  double total = 0;
};

/** The router's decision, with its reasons for `peridotctl explain`. */
struct RouteChoice
{
  UpstreamName upstream;
  Incarnation incarnation;
  UpstreamKind kind = UpstreamKind::kModelEngine;
  Address address;
  std::vector<CandidateScore> weighed;
};

/** Why no upstream was chosen. */
enum class NoRoute
{
  kNoUpstream,
  kAllEjected,
  kDeadlineTooNear,
  kQueueFull,
};
BOOST_DESCRIBE_ENUM(NoRoute,
                    kNoUpstream,
                    kAllEjected,
                    kDeadlineTooNear,
                    kQueueFull)

} // namespace peridotspool::routing
