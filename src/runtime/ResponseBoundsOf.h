#pragma once

#include "peridotspool/limits/ResponseBounds.h"
#include "peridotspool/settings/ProcessBounds.h"

namespace peridotspool::runtime {

inline limits::ResponseBounds
ResponseBoundsOf(const settings::ProcessBounds& aBounds)
{
  return { .mResponseBytes = aBounds.mUpstreamResponseBytes,
           .mEventBytes = aBounds.mUpstreamEventBytes,
           .mTotalBytes = aBounds.mUpstreamMemoryBytes };
}

} // namespace peridotspool::runtime
