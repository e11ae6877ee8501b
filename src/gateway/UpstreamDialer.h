#pragma once

#include "gateway/TunnelLease.h"
#include "http/BeastTypes.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/DialPlan.h"
#include "peridotspool/gateway/TunnelPeers.h"
#include "peridotspool/gateway/TunnelProtocol.h"
#include "peridotspool/observe/Counters.h"
#include "peridotspool/observe/Logger.h"
#include "peridotspool/routing/UpstreamPathMonitor.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridotspool::gateway {

/** Result of a dial; the socket is connected iff there is no failure. */
struct DialResult
{
  std::optional<DialFailure> mFailure;
  std::string mReason;
  http::Tcp::socket mSocket;
  /** Set iff another entry relays the connection. */
  std::shared_ptr<TunnelLease> mTunnel;
};

/** A dial that may be cancelled. */
class PendingDial
{
public:
  virtual ~PendingDial() = default;
  /** Ends the dial without calling back. */
  virtual void Cancel() = 0;
};

struct UpstreamDialerParts
{
  http::net::io_context& mIo;
  routing::UpstreamPathMonitor& mPath;
  std::shared_ptr<TunnelPeers> mPeers;
  observe::Logger& mLogger;
  observe::Counters& mCounters;
  const std::function<TimePoint()>& mNow;
};

/**
 * Establishes connections to upstreams, as DialPlan decides, and records what
 * they show about this entry's path.
 */
class UpstreamDialer
{
public:
  using Callback = std::function<void(DialResult)>;

  explicit UpstreamDialer(UpstreamDialerParts aParts);

  /** Calls back once, from the event loop, unless cancelled. */
  std::shared_ptr<PendingDial> Dial(const DialTarget& aTarget,
                                    Duration aTimeout,
                                    Callback aOnDone);
  /** Connects without a tunnel if the entry is partitioned, to find out whether
   * it still is; otherwise like Dial. Closes the connection. */
  void Probe(const DialTarget& aTarget);

  /** Records a connection that was established without a tunnel. */
  void RecordConnected(const UpstreamName& aUpstream);

  /** Records that an established tunnel has lost the entry that relays it. */
  void RecordRelayLost(const Address& aPeer);

  /** Sets a function that is called when a partition has begun or ended. */
  void SetOnPathChanged(std::function<void()> aCall)
  {
    mOnPathChanged = std::move(aCall);
  }
  /** Sets the address to connect from; empty for any. */
  void SetSourceHost(std::string aHost) { mSourceHost = std::move(aHost); }
  const std::string& SourceHost() const { return mSourceHost; }

  routing::UpstreamPathMonitor& Path() { return mParts.mPath; }
  http::net::io_context& Io() { return mParts.mIo; }
  TimePoint Now() const { return mParts.mNow(); }
  routing::UpstreamPathMonitor::ConnectionId NextConnectionId()
  {
    return ++mLastConnectionId;
  }

private:
  friend class UpstreamDial;

  std::shared_ptr<PendingDial> Start(const DialTarget& aTarget,
                                     const DialPlanOptions& aOptions,
                                     Callback aOnDone);
  void RecordUnreachable(const UpstreamName& aUpstream);

  UpstreamDialerParts mParts;
  std::string mSourceHost;
  std::function<void()> mOnPathChanged;
  routing::UpstreamPathMonitor::ConnectionId mLastConnectionId = 0;
};

} // namespace peridotspool::gateway
