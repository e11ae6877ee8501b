#include "peridotspool/routing/UpstreamPathMonitor.h"

namespace peridotspool::routing {

namespace {

constexpr std::size_t kMaxFailed = 64;

std::optional<Duration>
Since(const std::optional<TimePoint>& aThen, TimePoint aNow)
{
  return aThen ? std::optional(Duration(aNow - *aThen)) : std::nullopt;
}

} // namespace

void
UpstreamPathMonitor::RecordConnected(TimePoint aNow)
{
  mConnectedAt = aNow;
  mFailed.clear();
}

void
UpstreamPathMonitor::RecordConnectFailed(const UpstreamName& aUpstream)
{
  if (mFailed.size() < kMaxFailed) {
    mFailed.insert(aUpstream);
  }
}

void
UpstreamPathMonitor::RecordReceived(TimePoint aNow)
{
  mReceivedAt = aNow;
}

UpstreamPathFacts
UpstreamPathMonitor::Facts(TimePoint aNow) const
{
  return { .mSinceConnected = Since(mConnectedAt, aNow),
           .mSinceReceived = Since(mReceivedAt, aNow),
           .mFailedUpstreams = mFailed.size() };
}

} // namespace peridotspool::routing
