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
#include "runtime/SyncWatch.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <utility>

namespace peridotspool::runtime {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr std::size_t kDiskSlots = 1024;
constexpr std::chrono::milliseconds kFullDiskPause{ 100 };
/** Syncs from this on have a line each; shorter ones are summed up. */
constexpr Duration kLongSync = std::chrono::milliseconds(10);
constexpr std::size_t kMaxOperatorBody = 8U << 20;
/** Callers that look for entries send no bodies, and responses are small. */
constexpr std::size_t kMaxDirectoryBytes = 16U << 20;
constexpr std::uint32_t kStatusUnavailable = 503;

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
  explicit Impl(ControlHostOptions aOptions)
    : mOptions(std::move(aOptions))
    , mRing(mOptions.mBounds.mRingSlots)
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
    mLogger = observe::Logger::Open(mOptions.mLog, mOptions.mName, aReason);
    control::RestoredState restored;
    if (!mLogger || !OpenStore(restored, aReason)) {
      return false;
    }
    MakeParts();
    if (!mTransport->Start(aReason) || !mServer->Start(aReason) ||
        (mDirectory && !mDirectory->Start(aReason))) {
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
    if (mDirectory) {
      mDirectory->Stop();
    }
    mTransport->Stop();
    mLogger->Log(observe::EventId::kProcessStopped);
    return !mDiskFailed;
  }

private:
  // An empty folder is where a founder of a new system starts from what all
  // founders agree on. The state is on the disk before anything is sent.
  bool OpenStore(control::RestoredState& aRestored, LastReason& aReason)
  {
    mStore =
      storage::ControlStore::Open(mOptions.mDataFolder, aRestored, aReason);
    if (!mStore) {
      return false;
    }
    if (aRestored.mIdentity || !mOptions.mFirstState.mIdentity) {
      return true;
    }
    control::PersistEffect write;
    write.mIdentity = mOptions.mFirstState.mIdentity;
    write.mSnapshot = mOptions.mFirstState.mSnapshot;
    write.mVote = mOptions.mFirstState.mVote;
    aRestored = mOptions.mFirstState;
    return mStore->Write(write, aReason);
  }

  void MakeParts()
  {
    const auto& bounds = mOptions.mBounds;
    mTransport = std::make_unique<wire::PeerTransport>(
      wire::PeerTransportOptions{ .mListen = mOptions.mPeerListen,
                                  .mBind = mOptions.mPeerBind,
                                  .mSharedKey = mOptions.mPeerKey,
                                  .mMaxFrameBytes = bounds.mFrameBytes },
      [this](const std::string& aFrame) { OnFrame(aFrame); });
    mServer = MakeServer(mOptions.mOperatorsListen, bounds.mCallerMemoryBytes);
    if (mOptions.mDirectoryListen) {
      mDirectory = MakeServer(
        *mOptions.mDirectoryListen,
        std::min<std::size_t>(bounds.mCallerMemoryBytes, kMaxDirectoryBytes));
    }
  }

  std::unique_ptr<http::HttpServer> MakeServer(const Address& aListen,
                                               std::size_t aMaxHeldBytes)
  {
    const auto which = std::make_shared<http::HttpServer*>(nullptr);
    auto server = std::make_unique<http::HttpServer>(
      http::HttpServerOptions{ .mListen = aListen,
                               .mMaxBodyBytes = kMaxOperatorBody,
                               .mMaxHeaderBytes = mOptions.mBounds.mHeaderBytes,
                               .mMaxConnections = mOptions.mBounds.mConnections,
                               .mMaxHeldBytes = aMaxHeldBytes },
      [this, which](http::ExchangeId aExchange,
                    const http::HttpRequest& aRequest) {
        OnRequest(**which, aExchange, aRequest);
      },
      [](http::ExchangeId) {});
    *which = server.get();
    return server;
  }

  void OnFrame(const std::string& aFrame)
  {
    LastReason reason;
    auto envelope = wire::Decode<wire::PeerEnvelope>(aFrame, reason);
    if (envelope) {
      mRing.TryPush(ControlPeerInput{ std::move(*envelope) });
    }
  }

  void OnRequest(http::HttpServer& aServer,
                 http::ExchangeId aExchange,
                 const http::HttpRequest& aRequest)
  {
    if (aRequest.mMethod == "GET" && aRequest.mPath == "/metrics") {
      aServer.Respond(aExchange, Metrics());
      return;
    }
    ControlCall call = mOptions.mDialect.mRead(aRequest);
    if (auto* answered = std::get_if<AnsweredCall>(&call)) {
      aServer.Respond(aExchange, std::move(answered->mResponse));
      return;
    }
    if (!mRing.TryPush(HttpInput{ .mServer = &aServer,
                                  .mExchange = aExchange,
                                  .mCall = std::move(call),
                                  .mTarget = aRequest.mPath })) {
      aServer.Respond(aExchange,
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

  void Decide(control::RestoredState& aRestored)
  {
    TimePoint now = ReadClock();
    control::ControlOptions node = mOptions.mNode;
    node.mChecker = mOptions.mDialect.mChecker;
    if (node.mAddress.mPort == 0) {
      node.mAddress = mTransport->LocalAddress();
    }
    ControlDecider decider(
      control::ControlNode(std::move(node), std::move(aRestored), now),
      ControlParts{
        .mTransport = *mTransport,
        .mDisk = mDisk,
        .mDialect = mOptions.mDialect,
        .mDuties = mOptions.mDuties ? &*mOptions.mDuties : nullptr,
        .mTakeCloud = [this](CloudInput aInput) { mRing.TryPush(aInput); },
        .mLogger = *mLogger,
        .mCounters = mCounters });
    TimePoint nextTick = now;
    while (!decider.Stopped() && !mDiskFailed) {
      auto input = mRing.Pop(std::max(Duration(0), nextTick - now));
      now = ReadClock();
      if (now >= nextTick) {
        // Before the input: a replica that was frozen must learn that its
        // lease is over before it answers anything that waited.
        decider.Tick(now);
        LogSyncs(now);
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
      mSyncs.Begin(ReadClock());
      if (!WriteWhenThereIsRoom(*write)) {
        return;
      }
      const Duration took = mSyncs.End(ReadClock());
      if (took >= kLongSync) {
        mLogger->Log(observe::EventId::kDiskSynced,
                     { { "write", write->mToken }, { "took_ms", took } });
      }
      mRing.Push(SyncedInput{ write->mToken });
    }
  }

  // Of the deciding thread: the one that waits for the disk can't tell.
  void LogSyncs(TimePoint aNow)
  {
    if (const auto since = mSyncs.Hangs(aNow)) {
      mLogger->Log(observe::EventId::kDiskHangs, { { "for_ms", *since } });
    }
    if (const auto summary = mSyncs.Due(aNow)) {
      mLogger->Log(observe::EventId::kDiskSyncs,
                   { { "count", summary->mCount },
                     { "mean_ms", summary->mMean },
                     { "longest_ms", summary->mLongest } });
    }
  }

  // Others go on without this replica while its disk is full. Ending the
  // process instead would make it start again and again until there is room,
  // and take its other work with it.
  bool WriteWhenThereIsRoom(const control::PersistEffect& aWrite)
  {
    LastReason reason;
    bool full = false;
    while (!mStore->Write(aWrite, reason)) {
      if (!mStore->MayTryAgain()) {
        EndForDisk(reason);
        return false;
      }
      if (mRing.Closed()) {
        return false;
      }
      if (!full) {
        mLogger->Log(observe::EventId::kStorageFull,
                     { { "reason", reason.Text() } });
        full = true;
      }
      std::this_thread::sleep_for(kFullDiskPause);
    }
    if (full) {
      mLogger->Log(observe::EventId::kStorageHasRoom);
    }
    return true;
  }

  // After a failed sync nobody knows what the disk holds: going on could
  // acknowledge what a restart forgets.
  void EndForDisk(const LastReason& aReason)
  {
    mLogger->Log(observe::EventId::kStorageFault,
                 { { "reason", aReason.Text() } });
    mDiskFailed = true;
    mRing.Close();
    mDisk.Close();
    RequestStop();
  }

  // First: it is aligned to cache lines.
  observe::Counters mCounters;
  ControlHostOptions mOptions;
  BoundedRing<ControlInput> mRing;
  BoundedRing<control::PersistEffect> mDisk;
  SyncWatch mSyncs;
  std::optional<storage::ControlStore> mStore;
  std::unique_ptr<wire::PeerTransport> mTransport;
  std::unique_ptr<http::HttpServer> mServer;
  std::unique_ptr<http::HttpServer> mDirectory;
  std::unique_ptr<observe::Logger> mLogger;
  std::atomic<bool> mDiskFailed{ false };
  std::thread mDeciding;
  std::thread mWriting;
};

ControlHost::ControlHost(ControlHostOptions aOptions)
  : mImpl(std::make_unique<Impl>(std::move(aOptions)))
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
