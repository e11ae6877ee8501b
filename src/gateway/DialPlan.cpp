#include "peridotspool/gateway/DialPlan.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

using routing::UpstreamPath;

/** A direct connection that takes longer is likely to fail. */
constexpr Duration kDirectHeadStart = std::chrono::milliseconds(100);
/** Time between tunnels as long as none has failed. */
constexpr Duration kTunnelInterval = std::chrono::milliseconds(100);

} // namespace

DialPlan::DialPlan(DialPlanOptions aOptions, TimePoint aNow)
  : mOptions(aOptions)
  , mStartedAt(aNow)
{
}

void
DialPlan::RecordConnectFailed(bool aRefused)
{
  mDirect = aRefused ? DirectState::kRefused : DirectState::kFailed;
}

void
DialPlan::RecordTunnelOpening(TimePoint aNow)
{
  ++mTunnels;
  ++mPendingTunnels;
  mTunnelAt = aNow;
}

void
DialPlan::RecordTunnelFailed(TunnelFailure aFailure)
{
  --mPendingTunnels;
  mRefusedByUpstream |= aFailure == TunnelFailure::kUpstreamRefused;
  mTimedOutForPeer |= aFailure == TunnelFailure::kUpstreamTimedOut;
}

bool
DialPlan::MayOpenTunnel() const
{
  return mHasPeer && mTunnels < mOptions.mMaxTunnels;
}

TimePoint
DialPlan::NextTunnelAt() const
{
  if (mPendingTunnels > 0) {
    return mTunnelAt + kTunnelInterval;
  }
  return mDirect == DirectState::kPending && mTunnels == 0
           ? mStartedAt + kDirectHeadStart
           : mStartedAt;
}

DialStep
DialPlan::Next(TimePoint aNow) const
{
  const TimePoint deadline = mStartedAt + mOptions.mTimeout;
  if (aNow >= deadline || mRefusedByUpstream) {
    return { .mAction = DialAction::kGiveUp };
  }
  const bool isDirect = mOptions.mPath == UpstreamPath::kDirect;
  if (mDirect == DirectState::kNotTried && (isDirect || !mHasPeer)) {
    return { .mAction = DialAction::kConnect };
  }
  if (MayOpenTunnel()) {
    const TimePoint at = NextTunnelAt();
    if (aNow >= at) {
      return { .mAction = DialAction::kOpenTunnel };
    }
    return { .mAction = DialAction::kWait,
             .mWait = std::min(deadline, at) - aNow };
  }
  if (mDirect != DirectState::kPending && mPendingTunnels == 0) {
    return { .mAction = DialAction::kGiveUp };
  }
  return { .mAction = DialAction::kWait, .mWait = deadline - aNow };
}

// A refusal that only this entry sees may come from its own path.
DialFailure
DialPlan::Failure() const
{
  const bool isUnconfirmed = mTunnels == 0 && mDirect == DirectState::kRefused;
  const bool isPartitioned = mOptions.mPath == UpstreamPath::kPartitioned;
  return { .mRefused = mRefusedByUpstream || isUnconfirmed,
           .mPathLost =
             isPartitioned && !mRefusedByUpstream && !mTimedOutForPeer };
}

} // namespace peridotspool::gateway
