// The budget of the bytes that unfinished responses hold.

#include "gateway/GatewayCore.h"

namespace peridotspool::gateway {

void
GatewayCore::EnforceResponseBudget(const UpstreamName& aUpstream)
{
  while (const auto overrun = mResponseBudget.FindOverrun(aUpstream)) {
    mResponseBudget.Remove(overrun->mResponse);
    if (const auto holder = mResponseHolders.extract(overrun->mResponse)) {
      holder.mapped()(overrun->mBroken);
    }
  }
  mCounters.Set(observe::CounterId::kResponseBytesHeld,
                mResponseBudget.Bytes());
}

} // namespace peridotspool::gateway
