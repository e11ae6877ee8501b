#include "gateway/UpstreamDialer.h"

#include "gateway/SocketOptions.h"
#include "gateway/TunnelConnector.h"
#include "peridotspool/gateway/TunnelAddress.h"

#include <boost/describe/enum_to_string.hpp>

#include <set>
#include <utility>
#include <vector>

namespace peridotspool::gateway {

namespace {

namespace net = http::net;
using observe::CounterId;
using observe::EventId;
using routing::UpstreamPath;

/** Tunnels that one dial may open, by the path of this entry. */
constexpr std::size_t kMaxTunnels = 2;
constexpr std::size_t kMaxTunnelsPartitioned = 5;
/** A connection that takes longer doesn't show that a partition is over. */
constexpr Duration kProbeTimeout = std::chrono::milliseconds(300);

} // namespace

/** One dial: a direct connection and tunnels that compete with it. */
class UpstreamDial
  : public PendingDial
  , public std::enable_shared_from_this<UpstreamDial>
{
public:
  UpstreamDial(UpstreamDialer& aDialer,
               DialTarget aTarget,
               const DialPlanOptions& aOptions,
               UpstreamDialer::Callback aOnDone)
    : mDialer(aDialer)
    , mTarget(std::move(aTarget))
    , mTimeout(aOptions.mTimeout)
    , mPlan(aOptions, aDialer.Now())
    , mStartedAt(aDialer.Now())
    , mDirect(aDialer.mParts.mIo)
    , mTimer(aDialer.mParts.mIo)
    , mOnDone(std::move(aOnDone))
  {
  }

  void Advance();
  void Cancel() override;

private:
  struct Attempt
  {
    std::shared_ptr<TunnelConnector> mConnector;
    std::shared_ptr<TunnelLease> mLease;
  };

  void Connect();
  void OnConnected(http::ErrorCode aError);
  void OpenTunnel();
  void OnTunnel(const Address& aPeer,
                const std::optional<TunnelFailure>& aFailure,
                http::Tcp::socket aSocket);
  void GiveUp();
  void Finish(DialResult aResult);
  void CloseAll();
  Duration TimeLeft() const
  {
    return std::max(Duration(0), mStartedAt + mTimeout - mDialer.Now());
  }

  UpstreamDialer& mDialer;
  const DialTarget mTarget;
  const Duration mTimeout;
  DialPlan mPlan;
  const TimePoint mStartedAt;
  http::Tcp::socket mDirect;
  net::steady_timer mTimer;
  UpstreamDialer::Callback mOnDone;
  std::string mReason = "connect timed out";
  std::set<Address> mTriedPeers;
  std::vector<Attempt> mTunnels;
};

void
UpstreamDial::Advance()
{
  while (mOnDone) {
    const DialStep step = mPlan.Next(mDialer.Now());
    switch (step.mAction) {
      case DialAction::kConnect:
        Connect();
        break;
      case DialAction::kOpenTunnel:
        OpenTunnel();
        break;
      case DialAction::kGiveUp:
        GiveUp();
        return;
      case DialAction::kWait:
        mTimer.expires_after(step.mWait);
        mTimer.async_wait([self = shared_from_this()](http::ErrorCode aError) {
          if (!aError) {
            self->Advance();
          }
        });
        return;
    }
  }
}

void
UpstreamDial::Connect()
{
  mPlan.RecordConnecting();
  StartConnect(mDirect,
               mTarget.mAddress,
               mDialer.mSourceHost,
               [self = shared_from_this()](http::ErrorCode aError) {
                 self->OnConnected(aError);
               });
}

void
UpstreamDial::OnConnected(http::ErrorCode aError)
{
  if (!mOnDone) {
    return;
  }
  if (!aError) {
    mDialer.RecordConnected(mTarget.mName);
    Finish({ .mFailure = {}, .mReason = {}, .mSocket = std::move(mDirect) });
    return;
  }
  mReason = aError.message();
  const bool refused = aError == net::error::connection_refused;
  mDialer.mParts.mCounters.Add(refused ? CounterId::kUpstreamRefused
                                       : CounterId::kUpstreamUnreachable);
  mDialer.mParts.mPath.RecordConnectFailed(mTarget.mName);
  mPlan.RecordConnectFailed(refused);
  Advance();
}

void
UpstreamDial::OpenTunnel()
{
  const TimePoint now = mDialer.Now();
  const auto peer = mDialer.mParts.mPeers->Choose(mTriedPeers, now);
  if (!peer) {
    mPlan.RecordNoPeer();
    return;
  }
  mTriedPeers.insert(*peer);
  mPlan.RecordTunnelOpening(now);
  const auto connector = std::make_shared<TunnelConnector>(
    mDialer.mParts.mIo,
    [self = shared_from_this(), peer = *peer](
      std::optional<TunnelFailure> aFailure, http::Tcp::socket aSocket) {
      self->OnTunnel(peer, aFailure, std::move(aSocket));
    });
  mTunnels.push_back(
    { connector, std::make_shared<TunnelLease>(mDialer.mParts.mPeers, *peer) });
  connector->Open(
    TunnelAddressOf(*peer), mDialer.mSourceHost, mTarget, TimeLeft());
}

void
UpstreamDial::OnTunnel(const Address& aPeer,
                       const std::optional<TunnelFailure>& aFailure,
                       http::Tcp::socket aSocket)
{
  if (!mOnDone) {
    return;
  }
  const TimePoint now = mDialer.Now();
  mDialer.mParts.mLogger.Log(
    EventId::kTunnelRequested,
    { { "upstream", mTarget.mName },
      { "peer", ToText(aPeer) },
      { "outcome",
        aFailure ? boost::describe::enum_to_string(*aFailure, "") : "open" },
      { "direct_tried", mPlan.HasTriedDirect() },
      { "took_ms", now - mStartedAt } });
  if (aFailure) {
    mDialer.mParts.mCounters.Add(CounterId::kTunnelFailed);
    mDialer.mParts.mPeers->RecordFailure(aPeer, *aFailure, now);
    mPlan.RecordTunnelFailed(*aFailure);
    Advance();
    return;
  }
  mDialer.mParts.mCounters.Add(CounterId::kTunnelOpened);
  mDialer.mParts.mPeers->RecordEstablished(aPeer);
  if (mPlan.HasTriedDirect()) {
    mDialer.RecordUnreachable(mTarget.mName);
  }
  std::shared_ptr<TunnelLease> lease;
  for (const Attempt& tunnel : mTunnels) {
    if (tunnel.mLease->Peer() == aPeer) {
      lease = tunnel.mLease;
    }
  }
  Finish({ .mFailure = {},
           .mReason = {},
           .mSocket = std::move(aSocket),
           .mTunnel = std::move(lease) });
}

void
UpstreamDial::GiveUp()
{
  if (mPlan.IsConnecting()) {
    mDialer.mParts.mPath.RecordConnectFailed(mTarget.mName);
    mDialer.mParts.mCounters.Add(CounterId::kUpstreamUnreachable);
  }
  Finish({ .mFailure = mPlan.Failure(),
           .mReason = mReason,
           .mSocket = http::Tcp::socket(mDialer.mParts.mIo) });
}

void
UpstreamDial::Finish(DialResult aResult)
{
  const auto call = std::exchange(mOnDone, {});
  CloseAll();
  call(std::move(aResult));
}

void
UpstreamDial::Cancel()
{
  mOnDone = {};
  CloseAll();
}

void
UpstreamDial::CloseAll()
{
  mTimer.cancel();
  http::ErrorCode ignored;
  mDirect.close(ignored);
  for (const Attempt& tunnel : std::exchange(mTunnels, {})) {
    tunnel.mConnector->Cancel();
  }
}

UpstreamDialer::UpstreamDialer(UpstreamDialerParts aParts)
  : mParts(std::move(aParts))
{
}

std::shared_ptr<PendingDial>
UpstreamDialer::Dial(const DialTarget& aTarget,
                     Duration aTimeout,
                     Callback aOnDone)
{
  const UpstreamPath path = mParts.mPath.Path();
  return Start(aTarget,
               { .mPath = path,
                 .mTimeout = aTimeout,
                 .mMaxTunnels = path == UpstreamPath::kDirect
                                  ? kMaxTunnels
                                  : kMaxTunnelsPartitioned },
               std::move(aOnDone));
}

void
UpstreamDialer::Probe(const DialTarget& aTarget)
{
  const bool isDirect = mParts.mPath.Path() == UpstreamPath::kDirect;
  Start(aTarget,
        { .mPath = UpstreamPath::kDirect,
          .mTimeout = kProbeTimeout,
          .mMaxTunnels = isDirect ? kMaxTunnels : 0 },
        [](DialResult aResult) {
          http::ErrorCode ignored;
          aResult.mSocket.close(ignored);
        });
}

// The caller must know of the dial before it can end.
std::shared_ptr<PendingDial>
UpstreamDialer::Start(const DialTarget& aTarget,
                      const DialPlanOptions& aOptions,
                      Callback aOnDone)
{
  auto dial = std::make_shared<UpstreamDial>(
    *this, aTarget, aOptions, std::move(aOnDone));
  net::post(mParts.mIo, [dial] { dial->Advance(); });
  return dial;
}

void
UpstreamDialer::RecordConnected(const UpstreamName& aUpstream)
{
  mParts.mCounters.Add(CounterId::kUpstreamConnected);
  if (mParts.mPath.RecordConnected(aUpstream, Now()) && mOnPathChanged) {
    mOnPathChanged();
  }
}

void
UpstreamDialer::RecordRelayLost(const Address& aPeer)
{
  mParts.mCounters.Add(CounterId::kTunnelLost);
  mParts.mPeers->RecordFailure(aPeer, TunnelFailure::kPeerUnreachable, Now());
}

void
UpstreamDialer::RecordUnreachable(const UpstreamName& aUpstream)
{
  if (mParts.mPath.RecordUnreachable(aUpstream, Now()) && mOnPathChanged) {
    mOnPathChanged();
  }
}

} // namespace peridotspool::gateway
