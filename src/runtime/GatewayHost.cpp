#include "peridotspool/runtime/GatewayHost.h"

#include "gateway/Gateway.h"
#include "peridotspool/base/PackedText.h"
#include "peridotspool/gateway/StopPlan.h"
#include "peridotspool/http/HttpServer.h"
#include "peridotspool/membership/ControlSession.h"
#include "peridotspool/membership/UpstreamDirectory.h"
#include "peridotspool/runtime/KeyFiles.h"
#include "peridotspool/runtime/SystemClock.h"
#include "peridotspool/wire/Codec.h"
#include "peridotspool/wire/PeerEnvelope.h"
#include "peridotspool/wire/PeerTransport.h"
#include "runtime/HostParts.h"

#include <atomic>
#include <thread>
#include <utility>

namespace peridotspool::runtime {

namespace {

namespace net = http::net;
using observe::EventId;

constexpr std::chrono::milliseconds kTick{ 50 };
constexpr Duration kPullPeriod = std::chrono::milliseconds(300);
/** Frames that wait for the relay thread; more are dropped. */
constexpr std::size_t kMostFrames = 4096;
/** Entries that share a budget beyond those that are known: ones that are
 * added, and ones that a cut hides. */
constexpr std::size_t kUnknownEntries = 3;
/** Requests go on by the last settings for as long as nothing newer comes. */
constexpr Duration kConfirmationGrace = std::chrono::hours(24);

/** Requests wait for the first settings and upstreams in this time. */
constexpr Duration kStartsFor = std::chrono::milliseconds(2500);
constexpr Duration kReportPeriod = std::chrono::milliseconds(300);
constexpr Duration kLeaderLost = std::chrono::seconds(2);

} // namespace

class GatewayHost::Impl
{
public:
  Impl(settings::NodeSettings aSettings, GatewayDialect aDialect)
    : mSettings(std::move(aSettings))
    , mDialect(std::move(aDialect))
    , mTimer(mIo)
  {
  }

  ~Impl()
  {
    mIo.stop();
    if (mRelay.joinable()) {
      mRelay.join();
    }
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  bool Start(LastReason& aReason)
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
        !mGateway->Start(aReason)) {
      return false;
    }
    mLogger->Log(EventId::kProcessStarted,
                 { { "callers", ToText(*mSettings.mListen.mCallers) },
                   { "peer", ToText(mSettings.mListen.mPeer) },
                   { "seeds", mSettings.mSeeds.size() } });
    Tick();
    mRelay = std::thread([this] { mIo.run(); });
    return true;
  }

  void Reload(settings::NodeSettings aSettings)
  {
    net::post(mIo, [this, settings = std::move(aSettings)] {
      mSettings.mSeeds = settings.mSeeds;
      mLogger->Log(EventId::kSettingsReloaded,
                   { { "seeds", settings.mSeeds.size() } });
    });
  }

  void Leave()
  {
    net::post(mIo, [this] { BeginStop(); });
  }

  void Wait()
  {
    mRelay.join();
    if (mReadyServer) {
      mReadyServer->Stop();
    }
    mTransport->Stop();
    mLogger->Log(EventId::kProcessStopped);
  }

private:
  void MakeParts()
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
      .mBoard = gateway::UpstreamBoard({ .mDomain = mSettings.mDomain }),
      .mBudget =
        gateway::RepeatBudget({ .mRatio = mSettings.mShared.mRetryRatio,
                                .mExtra = mSettings.mShared.mRetryExtra,
                                .mWindow = mSettings.mShared.mRetryWindow,
                                .mEntries = 32 }),
      .mPool = {},
      .mLogger = *mLogger,
      .mCounters = mCounters,
      .mNow = ReadClock,
      .mQuota = {},
      .mUsage =
        gateway::UsageTally(mSettings.mDuties.mUsageWindow, RandomNumber()),
      .mTellLeader =
        [this](gateway::SharedMessage aMessage) {
          if (mLeader) {
            SendPeer(*mLeader, std::move(aMessage));
          }
        },
      .mWall = ReadWallMicros,
      .mWaiting = {},
      .mStartPlan = gateway::StartPlan({ .mWithin = kStartsFor }, ReadClock()),
      .mStarting = {},
      .mTable = nullptr });
    mGateway = std::make_unique<gateway::Gateway>(
      *mCore,
      gateway::GatewayOptions{ .mListen = *mSettings.mListen.mCallers });
    if (mSettings.mListen.mReady) {
      mReadyServer = std::make_unique<http::HttpServer>(
        http::HttpServerOptions{ .mListen = *mSettings.mListen.mReady,
                                 .mMaxConnections = 64 },
        [this](http::ExchangeId aExchange, const http::HttpRequest& aRequest) {
          mReadyServer->Respond(aExchange, OnReadyRequest(aRequest));
        },
        [](http::ExchangeId) {});
    }
  }

  http::HttpResponse OnReadyRequest(const http::HttpRequest& aRequest)
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

  // A process that lost its membership begins a new session; what it knows of
  // settings and upstreams stays, so that it never goes back to older ones.
  void StartSession()
  {
    mSession.emplace(membership::ControlSessionOptions{
      .mNonce = membership::EntryNonce(RandomNumber()),
      .mProfile = { .mName = mSettings.mName,
                    .mRegion = mSettings.mRegion,
                    .mDomain = mSettings.mDomain,
                    .mPeerAddress = mSettings.mListen.mPeer,
                    .mCallerAddress = *mSettings.mListen.mCallers },
      .mControls = mSettings.mSeeds,
      .mConfirmationGrace = kConfirmationGrace });
  }

  void OnFrame(const std::string& aFrame)
  {
    LastReason reason;
    auto envelope = wire::Decode<wire::PeerEnvelope>(aFrame, reason);
    if (!envelope || mFrames.load() >= kMostFrames) {
      return;
    }
    ++mFrames;
    net::post(mIo, [this, envelope = std::move(*envelope)] {
      --mFrames;
      TakeFrame(envelope);
    });
  }

  void TakeFrame(const wire::PeerEnvelope& aEnvelope)
  {
    if (const auto* entry =
          std::get_if<wire::ToEntryEnvelope>(&aEnvelope.mPayload)) {
      NoteLeader(aEnvelope.mFrom, entry->mMessage);
      Step(membership::FromControlEvent{ entry->mMessage });
    } else if (const auto* registry = std::get_if<membership::RegistryMessage>(
                 &aEnvelope.mPayload)) {
      if (const auto* push = std::get_if<membership::RegistryPush>(registry)) {
        TakePush(aEnvelope.mFrom, *push);
      }
    } else if (const auto* shared =
                 std::get_if<gateway::SharedMessage>(&aEnvelope.mPayload)) {
      TakeShared(*shared);
    }
  }

  void NoteLeader(const Address& aFrom,
                  const membership::ToEntryMessage& aMessage)
  {
    const auto* answer = std::get_if<membership::HeartbeatAnswer>(&aMessage);
    if (answer == nullptr || !answer->mLeads) {
      return;
    }
    mLeaderHeardAt = ReadClock();
    if (mLeader != aFrom) {
      mLogger->Log(EventId::kControlRegained, { { "leader", ToText(aFrom) } });
      mLeader = aFrom;
    }
  }

  void TakeShared(const gateway::SharedMessage& aMessage)
  {
    const TimePoint now = ReadClock();
    if (const auto* grant = std::get_if<gateway::QuotaGrant>(&aMessage)) {
      Decide(mCore->mQuota.TakeGrant(*grant, now));
    } else if (const auto* time = std::get_if<gateway::CommonTime>(&aMessage)) {
      mCore->mUsage.TakeTime(time->mMicros, now);
    }
  }

  void Decide(const std::vector<gateway::QuotaDecided>& aDecided)
  {
    for (const gateway::QuotaDecided& one : aDecided) {
      const auto waiting = mCore->mWaiting.find(one.mTag);
      if (waiting != mCore->mWaiting.end()) {
        const auto call = std::move(waiting->second);
        mCore->mWaiting.erase(waiting);
        call(one);
      }
    }
  }

  void TakePush(const Address& aFrom, const membership::RegistryPush& aPush)
  {
    const TimePoint now = ReadClock();
    for (const UpstreamName& name : mDirectory.Take(aFrom, aPush, now)) {
      const membership::KnownUpstream* known = mDirectory.Find(name);
      mCore->mBoard.Take(name, known, now);
      mLogger->Log(known->mReport.mStage == membership::UpstreamStage::kReady
                     ? EventId::kUpstreamAnnounced
                     : EventId::kUpstreamLeaving,
                   { { "upstream", name },
                     { "service", known->mReport.mService },
                     { "stage", static_cast<int>(known->mReport.mStage) },
                     { "silent", known->mSilent },
                     { "sequence", known->mReport.mSequence },
                     { "told_by", ToText(aFrom) },
                     { "version", aPush.mTo } });
      if (known->mReport.mStage != membership::UpstreamStage::kReady) {
        mCore->mPool.Forget(name);
      }
    }
    mCore->WakeStarting();
    SendPull(aFrom);
  }

  void SendPull(const Address& aTo)
  {
    SendPeer(aTo, membership::RegistryMessage(mDirectory.PullFor(aTo)));
  }

  void SendPeer(const Address& aTo, wire::PeerPayload aPayload)
  {
    mTransport->Send(
      aTo,
      wire::Encode(wire::PeerEnvelope{ .mFrom = mSettings.mListen.mPeer,
                                       .mPayload = std::move(aPayload) }));
  }

  void Step(const membership::ControlSessionEvent& aEvent)
  {
    for (const auto& effect : mSession->Step(aEvent, ReadClock())) {
      std::visit([this](const auto& aAny) { Carry(aAny); }, effect);
    }
  }

  void Carry(const membership::ToControlEffect& aEffect)
  {
    SendPeer(aEffect.mTo, aEffect.mEnvelope);
  }

  void Carry(const membership::JoinedEffect& aEffect)
  {
    mLogger->Log(EventId::kEntryJoined, { { "member", aEffect.mMember } });
  }

  void Carry(const membership::RemovedEffect& /*aEffect*/)
  {
    mLogger->Log(EventId::kEntryLeft, { { "stopping", mCore->mStopping } });
    if (!mCore->mStopping) {
      net::post(mIo, [this] { StartSession(); });
    }
  }

  void Carry(const membership::DrainEffect& /*aEffect*/)
  {
    mLogger->Log(EventId::kEntryDraining);
  }

  void Carry(const membership::NewSettingsEffect& aEffect)
  {
    LastReason reason;
    const auto text = UnpackText(aEffect.mText);
    auto table = text ? mDialect.mReadDocument(*text, reason) : std::nullopt;
    if (!table) {
      mLogger->Log(EventId::kSettingsRefused, { { "reason", reason.Text() } });
      return;
    }
    if (!mCore->mTable || table->Version() >= mCore->mTable->Version()) {
      mCore->mTable =
        std::make_shared<const gateway::RouteTable>(std::move(*table));
      mCounters.Set(observe::CounterId::kSettingsRevision,
                    aEffect.mRevision.Value());
      mLogger->Log(EventId::kSettingsTaken,
                   { { "revision", aEffect.mRevision },
                     { "version", mCore->mTable->Version() },
                     { "routes", mCore->mTable->Source().mRoutes.size() } });
    }
    mReady = !mCore->mStopping;
    mCore->WakeStarting();
    const Revision revision = aEffect.mRevision;
    net::post(mIo, [this, revision] {
      Step(membership::SettingsInForceEvent{ revision });
    });
  }

  void Carry(const membership::NewEpochEffect& aEffect)
  {
    const std::size_t members = aEffect.mMap.mMembers.size();
    mCore->mBudget.UseEntries(members + kUnknownEntries);
    mCore->mQuota.UseEntries(members + kUnknownEntries);
    mCounters.Set(observe::CounterId::kMembersKnown, members);
    mLogger->Log(EventId::kEpochChanged,
                 { { "epoch", aEffect.mMap.mEpoch }, { "members", members } });
  }

  void Tick()
  {
    const TimePoint now = ReadClock();
    Step(membership::SessionTickEvent{});
    if (now - mPulledAt >= kPullPeriod) {
      mPulledAt = now;
      for (const Address& control : mSession->Controls()) {
        SendPull(control);
      }
      for (const UpstreamName& name : mDirectory.Forget(now)) {
        mCore->mBoard.Take(name, nullptr, now);
      }
    }
    Decide(mCore->mQuota.Tick(now));
    if (now - mReportedAt >= kReportPeriod) {
      mReportedAt = now;
      gateway::UsageReport report = mCore->mUsage.Report(ReadWallMicros());
      report.mRunning = mCore->mBoard.Running();
      // To all replicas: the next leader has to know what entries reported that
      // are gone by then.
      for (const Address& control : mSession->Controls()) {
        SendPeer(control, gateway::SharedMessage(report));
      }
    }
    if (mLeader && now - mLeaderHeardAt > kLeaderLost) {
      mLogger->Log(EventId::kControlLost, { { "leader", ToText(*mLeader) } });
      mLeader.reset();
    }
    mGateway->Sweep(now);
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

  void BeginStop()
  {
    if (mCore->mStopping) {
      return;
    }
    mLogger->Log(EventId::kProcessStopping,
                 { { "exchanges", mGateway->Exchanges() } });
    mCore->mStopping = true;
    mReady = false;
    mCore->mStopPlan.emplace(
      gateway::StopPlanOptions{ .mGrace = mSettings.mStopGrace }, ReadClock());
    Step(membership::LeaveEvent{});
  }

  bool GoOnStopping(TimePoint aNow)
  {
    const auto stage = mCore->mStopPlan->Step(mGateway->IsQuiet(), aNow);
    if (stage != gateway::StopStage::kTakesRequests && !mCore->mRefusing) {
      mCore->mRefusing = true;
      mGateway->CloseIdle();
    }
    if (stage != gateway::StopStage::kOver) {
      return false;
    }
    Step(membership::LeftNothingEvent{});
    return true;
  }

  // First: it is aligned to cache lines.
  observe::Counters mCounters;
  settings::NodeSettings mSettings;
  GatewayDialect mDialect;
  net::io_context mIo{ 1 };
  net::steady_timer mTimer;
  std::unique_ptr<observe::Logger> mLogger;
  std::unique_ptr<wire::PeerTransport> mTransport;
  std::unique_ptr<http::HttpServer> mReadyServer;
  std::unique_ptr<gateway::GatewayCore> mCore;
  std::unique_ptr<gateway::Gateway> mGateway;
  std::optional<membership::ControlSession> mSession;
  membership::UpstreamDirectory mDirectory;
  std::atomic<bool> mReady{ false };
  std::atomic<std::size_t> mFrames{ 0 };
  TimePoint mPulledAt;
  TimePoint mReportedAt;
  /** The control leader, as it said itself, and when it last did. */
  std::optional<Address> mLeader;
  TimePoint mLeaderHeardAt;
  std::thread mRelay;
};

GatewayHost::GatewayHost(settings::NodeSettings aSettings,
                         GatewayDialect aDialect)
  : mImpl(std::make_unique<Impl>(std::move(aSettings), std::move(aDialect)))
{
}

GatewayHost::~GatewayHost() = default;

bool
GatewayHost::Start(LastReason& aReason)
{
  return mImpl->Start(aReason);
}

void
GatewayHost::Reload(settings::NodeSettings aSettings)
{
  mImpl->Reload(std::move(aSettings));
}

void
GatewayHost::Leave()
{
  mImpl->Leave();
}

void
GatewayHost::Wait()
{
  mImpl->Wait();
}

} // namespace peridotspool::runtime
