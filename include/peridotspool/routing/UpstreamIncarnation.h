#pragma once

#include "peridotspool/base/Ids.h"

#include <compare>

namespace peridotspool::routing {

/** One incarnation of an upstream's process. */
struct UpstreamIncarnation
{
  UpstreamName mName;
  Incarnation mIncarnation;

  auto operator<=>(const UpstreamIncarnation&) const = default;
};

} // namespace peridotspool::routing
