#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/routing/UpstreamReport.h"

#include <string>
#include <vector>

namespace peridotspool::routing {

/** A candidate upstream with the parts of its score. */
struct CandidateScore
{
  UpstreamName mUpstream;
  Duration mExpectedFirstToken{ 0 };
  std::uint64_t mCachedTokens = 0;
  double mLatencyPart = 0;
  double mCostPart = 0;
  double mTotal = 0;
};

/** The chosen upstream, with the scores that `peridotctl explain` shows. */
struct RouteChoice
{
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  UpstreamKind mKind = UpstreamKind::kModelEngine;
  Address mAddress;
  VersionName mVersion;
  std::vector<CandidateScore> mCandidateScores;
};

/** Why no upstream was chosen. */
enum class NoRoute
{
  kNoUpstream,
  kAllEjected,
  kDeadlineTooNear,
  kQueueFull,
  /** All upstreams of the service have asked for rest. */
  kAllResting,
};
BOOST_DESCRIBE_ENUM(NoRoute,
                    kNoUpstream,
                    kAllEjected,
                    kDeadlineTooNear,
                    kQueueFull,
                    kAllResting)

} // namespace peridotspool::routing
