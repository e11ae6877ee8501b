// Upstreams that want no requests from this entry.

#include "gateway/GatewayCore.h"
#include "peridotspool/limits/RetryAfter.h"

#include <algorithm>

namespace peridotspool::gateway {

using observe::EventId;

void
GatewayCore::RecordRest(const UpstreamName& aUpstream,
                        Incarnation aIncarnation,
                        Duration aRest,
                        const char* aSource)
{
  if (!mSelector.Withdrawn().RecordRest(
        aUpstream, aIncarnation, aRest, mNow())) {
    return;
  }
  mLogger.Log(EventId::kUpstreamWithdrawn,
              { { "upstream", aUpstream },
                { "incarnation", aIncarnation },
                { "reason", "rest" },
                { "rest_ms", aRest },
                { "source", aSource } });
  mOnWithdrawn(aUpstream);
}

// Idle connections are closed, as an upstream that leaves waits for them.
void
GatewayCore::RecordLeaving(const UpstreamName& aUpstream,
                           Incarnation aIncarnation,
                           const char* aSource)
{
  if (!mSelector.Withdrawn().RecordLeaving(aUpstream, aIncarnation, mNow())) {
    return;
  }
  mLogger.Log(EventId::kUpstreamWithdrawn,
              { { "upstream", aUpstream },
                { "incarnation", aIncarnation },
                { "reason", "leaves" },
                { "rest_ms", Duration(0) },
                { "source", aSource } });
  if (mSelector.IncarnationOf(aUpstream) == aIncarnation) {
    mPool.Remove(aUpstream);
  }
  mOnWithdrawn(aUpstream);
}

void
GatewayCore::HandleWithdrawalReport(const limits::WithdrawalReport& aReport)
{
  constexpr const char* kSource = "relayed";
  if (aReport.mLeaves) {
    RecordLeaving(aReport.mUpstream, aReport.mIncarnation, kSource);
  }
  if (aReport.mRestMs > 0) {
    RecordRest(aReport.mUpstream,
               aReport.mIncarnation,
               std::min<Duration>(std::chrono::milliseconds(aReport.mRestMs),
                                  limits::kMaxRetryAfter),
               kSource);
  }
}

} // namespace peridotspool::gateway
