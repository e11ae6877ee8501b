#include "peridotspool/routing/UpstreamPathMonitor.h"

namespace peridotspool::routing {

namespace {

/** Bounds the upstreams that are remembered. */
constexpr std::size_t kMaxUpstreams = 64;

std::optional<Duration>
Since(const std::optional<TimePoint>& aThen, TimePoint aNow)
{
  return aThen ? std::optional(Duration(aNow - *aThen)) : std::nullopt;
}

} // namespace

// One connection may have been established just before the partition began, or
// while packets of a partition that is beginning still pass.
bool
UpstreamPathMonitor::RecordConnected(const UpstreamName& aUpstream,
                                     TimePoint aNow)
{
  mConnectedAt = aNow;
  mFailed.clear();
  if (mPath == UpstreamPath::kDirect) {
    mUnreachable.clear();
    return false;
  }
  mReached.insert(aUpstream);
  if (mReached.size() < mOptions.mReachedToRecover) {
    return false;
  }
  mPath = UpstreamPath::kDirect;
  mUnreachable.clear();
  mReached.clear();
  return true;
}

void
UpstreamPathMonitor::RecordConnectFailed(const UpstreamName& aUpstream)
{
  mReached.clear();
  if (mFailed.size() < kMaxUpstreams) {
    mFailed.insert(aUpstream);
  }
}

bool
UpstreamPathMonitor::RecordUnreachable(const UpstreamName& aUpstream,
                                       TimePoint aNow)
{
  mReached.clear();
  std::erase_if(mUnreachable, [&](const auto& aPair) {
    return aNow - aPair.second >= mOptions.mMaxEvidenceAge;
  });
  if (mUnreachable.size() < kMaxUpstreams) {
    mUnreachable[aUpstream] = aNow;
  }
  if (mPath == UpstreamPath::kPartitioned ||
      mUnreachable.size() < mOptions.mMinUnreachable) {
    return false;
  }
  mPath = UpstreamPath::kPartitioned;
  mPartitionedAt = aNow;
  return true;
}

void
UpstreamPathMonitor::RecordRequest(ConnectionId aConnection,
                                   const UpstreamName& aUpstream,
                                   TimePoint aNow)
{
  mPending[aConnection] = { .mUpstream = aUpstream, .mActiveAt = aNow };
}

void
UpstreamPathMonitor::RecordReceived(ConnectionId aConnection, TimePoint aNow)
{
  mReceivedAt = aNow;
  const auto pending = mPending.find(aConnection);
  if (pending != mPending.end()) {
    pending->second.mActiveAt = aNow;
  }
}

void
UpstreamPathMonitor::RecordIdle(ConnectionId aConnection)
{
  mPending.erase(aConnection);
}

// New connections show a partition by themselves. This finds one where all
// requests are sent on connections that were established before.
bool
UpstreamPathMonitor::IsSilent(TimePoint aNow) const
{
  if (mReceivedAt && aNow - *mReceivedAt < mOptions.mMaxSilence) {
    return false;
  }
  std::set<UpstreamName> silent;
  for (const auto& [id, pending] : mPending) {
    const Duration silence = aNow - pending.mActiveAt;
    if (silence >= mOptions.mMaxLoneSilence) {
      return true;
    }
    if (silence >= mOptions.mMaxSilence) {
      silent.insert(pending.mUpstream);
    }
    if (silent.size() > 1) {
      return true;
    }
  }
  return false;
}

bool
UpstreamPathMonitor::StartProbe(TimePoint aNow)
{
  if (aNow - mProbedAt < mOptions.mProbeInterval ||
      !(IsSuspect() || IsSilent(aNow))) {
    return false;
  }
  mProbedAt = aNow;
  return true;
}

bool
UpstreamPathMonitor::IsTrusted(const std::optional<TimePoint>& aActiveAt) const
{
  return mPath == UpstreamPath::kDirect ||
         (aActiveAt && *aActiveAt > mPartitionedAt);
}

bool
UpstreamPathMonitor::AreOpenConnectionsSilent(TimePoint aNow) const
{
  return mPath == UpstreamPath::kPartitioned &&
         aNow - mPartitionedAt >= mOptions.mMaxSilence &&
         (!mReceivedAt || *mReceivedAt <= mPartitionedAt);
}

UpstreamPathFacts
UpstreamPathMonitor::Facts(TimePoint aNow) const
{
  return { .mSinceConnected = Since(mConnectedAt, aNow),
           .mSinceReceived = Since(mReceivedAt, aNow),
           .mFailedUpstreams = mFailed.size() };
}

} // namespace peridotspool::routing
