#include "peridotspool/gateway/StreamEnd.h"

namespace peridotspool::gateway {

// An upstream that crashes closes its connections like one that has finished.
// Only the body tells the two apart if nothing but the close marks its end.
StreamEnd
JudgeStreamEnd(const StreamEndFacts& aFacts)
{
  if (aFacts.mInsideEvent) {
    return StreamEnd::kInsideEvent;
  }
  if (aFacts.mFraming == BodyFraming::kConnection && !aFacts.mHasEvent) {
    return StreamEnd::kNoEvent;
  }
  return StreamEnd::kComplete;
}

} // namespace peridotspool::gateway
