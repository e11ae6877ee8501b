#include "runtime/GatewayRelay.h"

#include "peridotspool/gateway/TunnelAddress.h"
#include "peridotspool/runtime/KeyFiles.h"
#include "peridotspool/runtime/SystemClock.h"
#include "runtime/HostParts.h"
#include "runtime/ResponseBoundsOf.h"

#include <utility>

namespace peridotspool::runtime {

namespace {

namespace net = http::net;
using observe::EventId;

constexpr std::chrono::milliseconds kTick{ 50 };
/** Frames that wait for the relay thread; more are dropped. */
constexpr std::size_t kMaxFrames = 4096;
/** A replica that has told nothing yet is asked soon, others now and then. */
constexpr Duration kFirstPullPeriod = std::chrono::milliseconds(150);
constexpr Duration kPullPeriod = std::chrono::milliseconds(900);
/** Requests wait for the first settings and upstreams in this time. */
constexpr Duration kStartsFor = std::chrono::milliseconds(2500);
constexpr Duration kReportPeriod = std::chrono::milliseconds(300);
/** One report in so many goes to replicas that don't lead. */
constexpr unsigned kFollowersEach = 5;
constexpr Duration kLeaderLost = std::chrono::seconds(2);

gateway::SchedulingOptions
MakeSchedulingOptions(const settings::SchedulingSettings& aSettings)
{
  return { .mMaxQuotaWait = aSettings.mQuotaWait,
           .mShareCapacity = aSettings.mShareCapacity,
           .mSharedMachinesOnly = aSettings.mSharedMachinesOnly,
           .mReservedShare = aSettings.mReservedShare,
           .mLearnUpstreamSpeed = aSettings.mUpstreamSpeed };
}

} // namespace

GatewayRelay::GatewayRelay(settings::NodeSettings aSettings,
                           GatewayDialect aDialect)
  : mSettings(std::move(aSettings))
  , mDialect(std::move(aDialect))
  , mTimer(mIo)
  , mInbox(kMaxFrames)
{
}

GatewayRelay::~GatewayRelay()
{
  mIo.stop();
  if (mRelay.joinable()) {
    mRelay.join();
  }
}

bool
GatewayRelay::Start(LastReason& aReason)
{
  mLogger =
    observe::Logger::Open(mSettings.mLog, mSettings.mName.Value(), aReason);
  if (!mLogger) {
    return false;
  }
  if (!mSettings.mListen.mCallers) {
    aReason.Set("listen.callers is missing: an entry needs it");
    return false;
  }
  MakeParts();
  StartSession();
  if (!mTransport->Start(aReason) ||
      (mReadyServer && !mReadyServer->Start(aReason)) ||
      !mTunnelServer->Start(aReason) || !mGateway->Start(aReason)) {
    return false;
  }
  mLogger->Log(EventId::kProcessStarted,
               { { "callers", ToText(*mSettings.mListen.mCallers) },
                 { "peer", ToText(mSettings.mListen.mPeer) },
                 { "seeds", mSettings.mSeeds.size() } });
  Tick();
  mRelay = std::thread([this] { RunWork(); });
  return true;
}

void
GatewayRelay::Reload(settings::NodeSettings aSettings)
{
  net::post(mIo, [this, settings = std::move(aSettings)] {
    mSettings.mSeeds = settings.mSeeds;
    mLogger->Log(EventId::kSettingsReloaded,
                 { { "seeds", settings.mSeeds.size() } });
  });
}

void
GatewayRelay::Leave()
{
  net::post(mIo, [this] { BeginStop(); });
}

void
GatewayRelay::Wait()
{
  mRelay.join();
  if (mReadyServer) {
    mReadyServer->Stop();
  }
  mTransport->Stop();
  mLogger->Log(EventId::kProcessStopped);
}

void
GatewayRelay::MakeParts()
{
  mTransport = std::make_unique<wire::PeerTransport>(
    wire::PeerTransportOptions{ .mListen = mSettings.mListen.mPeer,
                                .mBind = mSettings.mListen.mPeerBind,
                                .mSharedKey = kNoPeerKey,
                                .mMaxFrameBytes =
                                  mSettings.mBounds.mFrameBytes },
    [this](const std::string& aFrame) { OnFrame(aFrame); });
  mCore.reset(new gateway::GatewayCore{
    .mIo = mIo,
    .mNames = mDialect.mNames,
    .mSelector = gateway::UpstreamSelector(
      { .mDomain = mSettings.mDomain,
        .mSeed = RandomNumber(),
        .mLearnUpstreamSpeed = mSettings.mScheduling.mUpstreamSpeed }),
    .mRetryBudget = gateway::ServiceRetryBudget(
      { .mRatio = mSettings.mShared.mRetryRatio,
        .mFixedAllowance = mSettings.mShared.mRetryExtra,
        .mWindow = mSettings.mShared.mRetryWindow,
        .mEntryCount = 32,
        .mStartedAt = ReadClock() }),
    .mPool = {},
    .mLogger = *mLogger,
    .mCounters = mCounters,
    .mNow = ReadClock,
    .mQuota = {},
    .mUsage =
      gateway::UsageCounter(mSettings.mDuties.mUsageWindow, RandomNumber()),
    .mSendToLeader =
      [this](gateway::PeerMessage aMessage) {
        if (mLeader) {
          SendPeer(*mLeader, std::move(aMessage));
        }
      },
    .mCoordinators = {},
    .mCoordinator = {},
    .mLoadQueries = {},
    .mSendToEntry =
      [this](const Address& aTo, gateway::PeerMessage aMessage) {
        TellEntry(aTo, std::move(aMessage));
      },
    .mLastSendId = RandomNumber(),
    .mWallClock = ReadWallMicros,
    .mQuotaWaiters = {},
    .mLoadWaiters = {},
    .mStartupPolicy =
      gateway::StartupPolicy({ .mStartupPeriod = kStartsFor }, ReadClock()),
    .mStartupWaiters = {},
    .mTable = nullptr,
    .mSettingsConfirmation =
      gateway::SettingsConfirmation({ .mMaxAge = mSettings.mSettingsDelay }),
    .mConfirmSettings = [this] { Step(membership::ConfirmSettingsEvent{}); },
    .mPermitClient = limits::PermitClient(RandomNumber()),
    .mPermitAllocator = limits::PermitAllocator(RandomNumber()),
    .mTunnelPeers = std::make_shared<gateway::TunnelPeers>(RandomNumber()),
    .mScheduling = MakeSchedulingOptions(mSettings.mScheduling),
    .mResponseBounds = ResponseBoundsOf(mSettings.mBounds) });
  mCore->mCoordinator.SetLearnsSpeed(mCore->mScheduling.mLearnUpstreamSpeed);
  MakeServers();
}

void
GatewayRelay::MakeServers()
{
  mCore->mOrigins.Start(
    mSettings.mListen.mPeer, mSettings.mRegion, RandomNumber());
  mCore->mDialer.SetOnPathChanged([this] { mCore->OnUpstreamPathChanged(); });
  if (mSettings.mListen.mPeerBind) {
    mCore->mDialer.SetSourceHost(mSettings.mListen.mPeerBind->mHost);
  }
  mFeed.emplace(*mCore);
  mGateway = std::make_unique<gateway::Gateway>(
    *mCore,
    gateway::GatewayOptions{
      .mListen = *mSettings.mListen.mCallers,
      .mBounds = { .mTotalBytes = mSettings.mBounds.mCallerMemoryBytes,
                   .mConnections = mSettings.mBounds.mConnections } });
  mTunnelServer = std::make_unique<gateway::TunnelServer>(
    *mCore,
    gateway::TunnelServerOptions{
      .mListen = gateway::TunnelAddressOf(
        mSettings.mListen.mPeerBind.value_or(mSettings.mListen.mPeer)) });
  if (mSettings.mListen.mReady) {
    mReadyServer = std::make_unique<http::HttpServer>(
      http::HttpServerOptions{ .mListen = *mSettings.mListen.mReady,
                               .mMaxBodyBytes = 0,
                               .mMaxConnections = 64 },
      [this](http::ExchangeId aExchange, const http::HttpRequest& aRequest) {
        mReadyServer->Respond(aExchange, OnReadyRequest(aRequest));
      },
      [](http::ExchangeId) {});
  }
}

http::HttpResponse
GatewayRelay::OnReadyRequest(const http::HttpRequest& aRequest)
{
  if (aRequest.mPath == mDialect.mReadyPath) {
    return { .mStatus = mReady ? 200U : 503U, .mHeaders = {}, .mBody = {} };
  }
  if (aRequest.mPath == "/metrics") {
    SetHostGauges(mCounters, *mTransport, *mLogger);
    return { .mStatus = 200,
             .mHeaders = { { "content-type", "text/plain; version=0.0.4" } },
             .mBody = mCounters.MetricsText() };
  }
  return { .mStatus = 404, .mHeaders = {}, .mBody = {} };
}

void
GatewayRelay::Tick()
{
  const TimePoint now = ReadClock();
  Step(membership::SessionTickEvent{});
  PullUpstreams(now);
  Decide(mCore->mQuota.Tick(now));
  if (auto returns = mCore->mQuota.TakePendingReturns()) {
    mCore->mSendToLeader(std::move(*returns));
  }
  mCounters.Set(observe::CounterId::kLimitUnitsLate,
                static_cast<std::uint64_t>(mCore->mQuota.LateUnits()));
  mCounters.Set(observe::CounterId::kLimitWaiting,
                mCore->mQuotaWaitRoom.Requests());
  mCore->mCoordinator.RemoveExpired(now);
  mCore->ResumeStartupWaiters();
  mCore->TickQuarantine();
  mCore->TickPermits();
  mCore->TickSlots();
  mCore->TickUpstreamPath();
  mCore->mOrigins.Tick();
  ReportUsage(now);
  mTraffic.Tick(*mLogger, mCounters, now);
  NoteLostLeader(now);
  mGateway->Sweep(now);
  mGateway->FailStalled(now);
  mTunnelServer->Sweep(now);
  if (mCore->mStopping && GoOnStopping(now)) {
    mIo.stop();
    return;
  }
  mTimer.expires_after(kTick);
  mTimer.async_wait([this](http::ErrorCode aError) {
    if (!aError) {
      Tick();
    }
  });
}

void
GatewayRelay::PullUpstreams(TimePoint aNow)
{
  if (aNow - mPulledAt < kFirstPullPeriod) {
    return;
  }
  mPulledAt = aNow;
  const bool all = aNow - mPulledAllAt >= kPullPeriod;
  if (all) {
    mPulledAllAt = aNow;
    mFeed->Forget(aNow);
  }
  for (const Address& control : mSession->Controls()) {
    if (all || !mFeed->Knows(control)) {
      SendPull(control);
    }
  }
}

// To all voters: the next leader has to know what entries reported that are
// gone by then. Those that don't lead need it less often.
void
GatewayRelay::ReportUsage(TimePoint aNow)
{
  if (aNow - mReportedAt < kReportPeriod) {
    return;
  }
  mReportedAt = aNow;
  const bool toAll = ++mReports % kFollowersEach == 0;
  gateway::UsageReport report = mCore->mUsage.Report(ReadWallMicros());
  report.mRunning = mCore->mSelector.Running();
  report.mQuarantine = mCore->mQuarantineGate.KnownNumber();
  report.mRollouts = mCore->mRollouts.Number();
  report.mQuotaLease = mCore->mQuota.Lease();
  report.mLimited = mCore->LimitedByService();
  const auto again = std::exchange(mCore->mResubmittedContents, {});
  report.mResubmittedContents.assign(again.begin(), again.end());
  SendReport(report, toAll);
  if (!mCore->mRollouts.HasRunning()) {
    return;
  }
  const auto oldRunning = [this](const ServiceName& aService,
                                 const VersionName& aTo) {
    return mCore->mSelector.RunningOtherVersions(aService, aTo);
  };
  SendReport(
    mCore->mRollouts.Report(report.mEntryIncarnation, oldRunning, aNow), toAll);
}

void
GatewayRelay::SendReport(const gateway::PeerMessage& aReport, bool aToAllVoters)
{
  const bool toLeader = !aToAllVoters && mLeader;
  if (const auto& relay = mSession->Relay()) {
    using membership::RelayScope;
    SendPeer(*relay,
             control::RelayRequest{ .mScope = toLeader ? RelayScope::kLeader
                                                       : RelayScope::kVoters,
                                    .mPayload = aReport });
    return;
  }
  for (const Address& control : mSession->Voters()) {
    if (!toLeader || *mLeader == control) {
      SendPeer(control, aReport);
    }
  }
}

void
GatewayRelay::TellEntry(const Address& aTo, gateway::PeerMessage aMessage)
{
  if (aTo == mSettings.mListen.mPeer) {
    TakeShared(aTo, aMessage);
  } else {
    SendPeer(aTo, std::move(aMessage));
  }
}

void
GatewayRelay::NoteLostLeader(TimePoint aNow)
{
  if (mLeader && aNow - mLeaderHeardAt > kLeaderLost) {
    mLogger->Log(EventId::kControlLost, { { "leader", ToText(*mLeader) } });
    mLeader.reset();
  }
}

void
GatewayRelay::BeginStop()
{
  if (mCore->mStopping) {
    return;
  }
  mLogger->Log(EventId::kProcessStopping,
               { { "exchanges", mGateway->Exchanges() } });
  mCore->mStopping = true;
  mReady = false;
  mCore->mShutdownPolicy.emplace(
    gateway::ShutdownPolicyOptions{ .mGrace = mSettings.mStopGrace },
    ReadClock());
  Step(membership::LeaveEvent{});
}

bool
GatewayRelay::GoOnStopping(TimePoint aNow)
{
  const auto stage = mCore->mShutdownPolicy->Step(
    mGateway->IsQuiet() && mTunnelServer->IsQuiet(), aNow);
  if (stage != gateway::ShutdownStage::kAccepting && !mCore->mRefusing) {
    mCore->mRefusing = true;
    Decide(mCore->mQuota.RefuseWaiting(aNow));
    mGateway->RefuseUnsent();
    mGateway->CloseIdle();
  }
  if (stage != gateway::ShutdownStage::kComplete) {
    return false;
  }
  mGateway->AnswerUnfinished();
  Step(membership::HandoverCompleteEvent{});
  return true;
}

} // namespace peridotspool::runtime
