#include "peridotspool/runtime/ControlHost.h"

#include "http/ApiError.h"
#include "peridotspool/observe/Counters.h"
#include "peridotspool/runtime/StopSignal.h"
#include "peridotspool/runtime/SystemClock.h"
#include "peridotspool/settings/SettingsTree.h"
#include "peridotspool/storage/ControlStore.h"
#include "peridotspool/wire/Codec.h"
#include "runtime/ControlDecider.h"
#include "runtime/HostParts.h"

#include <atomic>
#include <thread>
#include <utility>

namespace peridotspool::runtime {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr std::size_t kDiskSlots = 1024;
constexpr std::size_t kMaxOperatorBody = 8U << 20;
constexpr std::uint32_t kStatusUnavailable = 503;

std::optional<std::string>
CheckTree(const std::string& aText)
{
  settings::SettingsErrors errors;
  if (settings::SettingsTree::Parse(aText, "settings", errors)) {
    return std::nullopt;
  }
  return settings::ToText(errors);
}

control::ControlOptions
NodeOptions(const settings::ProcessSettings& aSettings, const Address& aAddress)
{
  control::ControlOptions options;
  options.mName = control::ReplicaName(aSettings.mName.Value());
  options.mDomain = aSettings.mDomain;
  options.mAddress = aAddress;
  options.mNonce = control::JoinNonce(RandomNumber());
  for (const auto& replica : aSettings.mControlReplicas) {
    if (replica.mPeerAddress != aAddress) {
      options.mSeeds.push_back(replica.mPeerAddress);
    }
  }
  options.mConsensus.mRandomSeed = RandomNumber();
  // An even number of voters survives no more losses than one fewer.
  const std::size_t replicas = aSettings.mControlReplicas.size();
  options.mVoters = replicas % 2 == 1 ? replicas : replicas - 1;
  options.mChecker = CheckTree;
  return options;
}

} // namespace

bool
InitialiseControl(const settings::ProcessSettings& aSettings,
                  LastReason& aReason)
{
  const control::RestoredState first = control::InitialState(
    control::SystemId(RandomNumber()),
    control::ReplicaInfo{ .mName =
                            control::ReplicaName(aSettings.mName.Value()),
                          .mDomain = aSettings.mDomain,
                          .mAddress = aSettings.mPeerAdvertise });
  return storage::ControlStore::Initialise(
    aSettings.mDataFolder, first, aReason);
}

class ControlHost::Impl
{
public:
  explicit Impl(settings::ProcessSettings aSettings)
    : mSettings(std::move(aSettings))
    , mRing(mSettings.mBounds.mRingSlots)
    , mDisk(kDiskSlots)
  {
  }

  ~Impl()
  {
    mRing.Close();
    mDisk.Close();
    for (std::thread* thread : { &mDeciding, &mWriting }) {
      if (thread->joinable()) {
        thread->join();
      }
    }
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  bool Start(LastReason& aReason)
  {
    auto basics = OpenHostBasics(mSettings, aReason);
    if (!basics) {
      return false;
    }
    mLogger = std::move(basics->mLogger);
    mKeys = std::move(basics->mKeys);
    control::RestoredState restored;
    mStore =
      storage::ControlStore::Open(mSettings.mDataFolder, restored, aReason);
    if (!mStore) {
      return false;
    }
    MakeParts(basics->mPeerKey);
    if (!mTransport->Start(aReason) || !mServer->Start(aReason)) {
      return false;
    }
    mLogger->Log(observe::EventId::kProcessStarted,
                 { { "http", ToText(mServer->LocalAddress()) },
                   { "peer", ToText(mTransport->LocalAddress()) },
                   { "cut_bytes", mStore->CutBytes() } });
    mWriting = std::thread([this] { WriteToDisk(); });
    mDeciding = std::thread(
      [this, state = std::move(restored)]() mutable { Decide(state); });
    return true;
  }

  void Leave()
  {
    mLogger->Log(observe::EventId::kProcessStopping);
    mRing.Push(StopInput{});
  }

  bool Wait()
  {
    mDeciding.join();
    mDisk.Close();
    mWriting.join();
    mServer->Stop();
    mTransport->Stop();
    mLogger->Log(observe::EventId::kProcessStopped);
    return !mDiskFailed;
  }

private:
  void MakeParts(const std::string& aKey)
  {
    const auto& bounds = mSettings.mBounds;
    mTransport = std::make_unique<wire::PeerTransport>(
      wire::PeerTransportOptions{ .mListen = mSettings.mPeerListen,
                                  .mSharedKey = aKey,
                                  .mMaxFrameBytes = bounds.mFrameBytes },
      [this](const std::string& aFrame) { OnFrame(aFrame); });
    mServer = std::make_unique<http::HttpServer>(
      http::HttpServerOptions{ .mListen = mSettings.mHttpListen,
                               .mMaxBodyBytes = kMaxOperatorBody,
                               .mMaxHeaderBytes = bounds.mHeaderBytes,
                               .mMaxConnections = bounds.mConnections },
      [this](http::ExchangeId aExchange, const http::HttpRequest& aRequest) {
        OnRequest(aExchange, aRequest);
      },
      [](http::ExchangeId) {});
  }

  void OnFrame(const std::string& aFrame)
  {
    LastReason reason;
    auto envelope = wire::Decode<wire::PeerEnvelope>(aFrame, reason);
    if (envelope) {
      mRing.TryPush(ControlPeerInput{ std::move(*envelope) });
    }
  }

  void OnRequest(http::ExchangeId aExchange, const http::HttpRequest& aRequest)
  {
    if (aRequest.mMethod == "GET" && aRequest.mPath == "/metrics") {
      mServer->Respond(aExchange, Metrics());
      return;
    }
    http::OperatorCommand command = http::ReadOperatorRequest(aRequest, mKeys);
    if (auto* refused = std::get_if<http::RefusedCommand>(&command)) {
      mServer->Respond(aExchange, std::move(refused->mResponse));
      return;
    }
    auto& request = std::get<control::OperatorRequest>(command);
    if (!mRing.TryPush(OperatorInput{ aExchange, std::move(request) })) {
      mServer->Respond(aExchange,
                       http::MakeErrorResponse(kStatusUnavailable,
                                               "overloaded",
                                               "too much waits to be decided"));
    }
  }

  http::HttpResponse Metrics()
  {
    SetHostGauges(mCounters, *mTransport, *mLogger);
    return http::HttpResponse{ .mStatus = 200,
                               .mHeaders = { { "content-type",
                                               "text/plain; version=0.0.4" } },
                               .mBody = mCounters.MetricsText() };
  }

  std::optional<Address> FindHttp(const Address& aPeer) const
  {
    for (const auto& replica : mSettings.mControlReplicas) {
      if (replica.mPeerAddress == aPeer) {
        return replica.mHttpAddress;
      }
    }
    return std::nullopt;
  }

  void Decide(control::RestoredState& aRestored)
  {
    TimePoint now = ReadClock();
    Address self = mSettings.mPeerAdvertise;
    if (self.mPort == 0) {
      self = mTransport->LocalAddress();
    }
    ControlDecider decider(
      control::ControlNode(
        NodeOptions(mSettings, self), std::move(aRestored), now),
      ControlParts{ *mServer,
                    *mTransport,
                    mDisk,
                    [this](const Address& aPeer) { return FindHttp(aPeer); },
                    *mLogger });
    TimePoint nextTick = now;
    while (!decider.Stopped() && !mDiskFailed) {
      auto input = mRing.Pop(std::max(Duration(0), nextTick - now));
      now = ReadClock();
      if (now >= nextTick) {
        // Before the input: a replica that was frozen must learn that its
        // lease is over before it answers anything that waited.
        decider.Tick(now);
        nextTick = now + kTick;
      }
      if (input) {
        decider.Take(std::move(*input), now);
      }
    }
    mRing.Close();
  }

  void WriteToDisk()
  {
    for (;;) {
      auto write = mDisk.Pop(std::chrono::seconds(1));
      if (!write) {
        if (mRing.Closed()) {
          return;
        }
        continue;
      }
      LastReason reason;
      if (!mStore->Write(*write, reason)) {
        // After a failed sync nobody knows what the disk holds: going on could
        // acknowledge what a restart forgets.
        mLogger->Log(observe::EventId::kStorageFault,
                     { { "reason", reason.Text() } });
        mDiskFailed = true;
        mRing.Close();
        mDisk.Close();
        RequestStop();
        return;
      }
      mRing.Push(SyncedInput{ write->mToken });
    }
  }

  // First: it is aligned to cache lines.
  observe::Counters mCounters;
  settings::ProcessSettings mSettings;
  http::KeyHashes mKeys;
  BoundedRing<ControlInput> mRing;
  BoundedRing<control::PersistEffect> mDisk;
  std::optional<storage::ControlStore> mStore;
  std::unique_ptr<wire::PeerTransport> mTransport;
  std::unique_ptr<http::HttpServer> mServer;
  std::unique_ptr<observe::Logger> mLogger;
  std::atomic<bool> mDiskFailed{ false };
  std::thread mDeciding;
  std::thread mWriting;
};

ControlHost::ControlHost(settings::ProcessSettings aSettings)
  : mImpl(std::make_unique<Impl>(std::move(aSettings)))
{
}

ControlHost::~ControlHost() = default;

bool
ControlHost::Start(LastReason& aReason)
{
  return mImpl->Start(aReason);
}

void
ControlHost::Leave()
{
  mImpl->Leave();
}

bool
ControlHost::Wait()
{
  return mImpl->Wait();
}

} // namespace peridotspool::runtime
