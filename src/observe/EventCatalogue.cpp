#include "peridotspool/observe/EventCatalogue.h"

#include "peridotspool/base/Invariant.h"

#include <algorithm>

namespace peridotspool::observe {

const EventRow&
RowOf(EventId aId)
{
  const auto found = std::lower_bound(
    kEventRows.begin(),
    kEventRows.end(),
    aId,
    [](const EventRow& aRow, EventId aWanted) { return aRow.mId < aWanted; });
  PERIDOTSPOOL_INVARIANT(found != kEventRows.end() && found->mId == aId);
  return *found;
}

} // namespace peridotspool::observe
