#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/TunnelFailure.h"
#include "peridotspool/routing/UpstreamPathMonitor.h"

#include <boost/describe/enum.hpp>
#include <cstddef>

namespace peridotspool::gateway {

enum class DialAction
{
  kWait,
  kConnect,
  /** Open a tunnel by another entry that was not tried yet. */
  kOpenTunnel,
  kGiveUp,
};
BOOST_DESCRIBE_ENUM(DialAction, kWait, kConnect, kOpenTunnel, kGiveUp)

struct DialStep
{
  DialAction mAction = DialAction::kWait;
  /** With kWait: ask again after this time at the latest. */
  Duration mWait{ 0 };

  auto operator<=>(const DialStep&) const = default;
};

/** Why no connection was established. */
struct DialFailure
{
  /** The upstream's address refuses connections, for other entries too. */
  bool mRefused = false;
  /** The fault is in this entry's path, as far as is known. */
  bool mPathLost = false;

  auto operator<=>(const DialFailure&) const = default;
};

struct DialPlanOptions
{
  routing::UpstreamPath mPath = routing::UpstreamPath::kDirect;
  Duration mTimeout{ 0 };
  std::size_t mMaxTunnels = 0;
};

/**
 * Decides how one connection to an upstream is established: by this entry
 * itself, and if that fails or takes long, by tunnels through other entries
 * (as in Happy Eyeballs, RFC 8305). A partitioned entry uses tunnels only,
 * unless there is no other entry. The first connection is used.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class DialPlan
{
public:
  DialPlan(DialPlanOptions aOptions, TimePoint aNow);

  DialStep Next(TimePoint aNow) const;
  void RecordConnecting() { mDirect = DirectState::kPending; }
  void RecordConnectFailed(bool aRefused);
  void RecordTunnelOpening(TimePoint aNow);
  void RecordTunnelFailed(TunnelFailure aFailure);
  /** There is no other entry left to try. */
  void RecordNoPeer() { mHasPeer = false; }

  /** Returns true iff a direct connection failed or is still pending. */
  bool HasTriedDirect() const { return mDirect != DirectState::kNotTried; }
  bool IsConnecting() const { return mDirect == DirectState::kPending; }
  DialFailure Failure() const;

private:
  enum class DirectState
  {
    kNotTried,
    kPending,
    kFailed,
    kRefused,
  };

  bool MayOpenTunnel() const;
  TimePoint NextTunnelAt() const;

  DialPlanOptions mOptions;
  TimePoint mStartedAt;
  DirectState mDirect = DirectState::kNotTried;
  std::size_t mTunnels = 0;
  std::size_t mPendingTunnels = 0;
  TimePoint mTunnelAt;
  bool mHasPeer = true;
  bool mRefusedByUpstream = false;
  /** Another entry could not reach the upstream either. */
  bool mTimedOutForPeer = false;
};

} // namespace peridotspool::gateway
