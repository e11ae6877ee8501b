#include "peridotspool/runtime/EntryHost.h"

#include "http/ApiError.h"
#include "peridotspool/runtime/BoundedRing.h"
#include "peridotspool/runtime/StopSignal.h"
#include "peridotspool/runtime/SystemClock.h"
#include "peridotspool/wire/Codec.h"
#include "peridotspool/wire/PeerAuth.h"
#include "runtime/EntryDecider.h"
#include "runtime/HostParts.h"
#include "runtime/ResponseBoundsOf.h"

#include <atomic>
#include <optional>
#include <thread>
#include <utility>

namespace peridotspool::runtime {

namespace {

/** The deciding thread wakes at least this often. */
constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr std::uint32_t kStatusUnavailable = 503;

request::EntryNodeOptions
NodeOptions(const settings::ProcessSettings& aSettings,
            const Address& aPeerAddress,
            const Address& aCallerAddress)
{
  request::EntryNodeOptions options;
  options.mSession.mProfile =
    membership::EntryProfile{ .mName = aSettings.mName,
                              .mRegion = aSettings.mRegion,
                              .mDomain = aSettings.mDomain,
                              .mPeerAddress = aPeerAddress,
                              .mCallerAddress = aCallerAddress };
  for (const auto& replica : aSettings.mControlReplicas) {
    options.mSession.mControls.push_back(replica.mPeerAddress);
  }
  options.mLedger.mMaxBytes = aSettings.mBounds.mLedgerBytes;
  options.mRandomSeed = RandomNumber();
  options.mRequests.mRandomSeed = RandomNumber();
  options.mRequests.mResponses = ResponseBoundsOf(aSettings.mBounds);
  options.mRouter.mRandomSeed = RandomNumber();
  options.mDirectory.mRandomSeed = RandomNumber();
  return options;
}

/** Returns the advertised address, with the port that was really taken. */
Address
Advertised(const Address& aAdvertise, const Address& aBound)
{
  Address address = aAdvertise;
  if (address.mHost.empty()) {
    address.mHost = aBound.mHost;
  }
  if (address.mPort == 0) {
    address.mPort = aBound.mPort;
  }
  return address;
}

} // namespace

class EntryHost::Impl
{
public:
  explicit Impl(settings::ProcessSettings aSettings)
    : mSettings(std::move(aSettings))
    , mRing(mSettings.mBounds.mRingSlots)
  {
  }

  ~Impl()
  {
    mStopping = true;
    mRing.Close();
    if (mDeciding.joinable()) {
      mDeciding.join();
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
    MakeParts(basics->mPeerKey);
    if (!mTransport->Start(aReason) || !mServer->Start(aReason)) {
      return false;
    }
    mLogger->Log(observe::EventId::kProcessStarted,
                 { { "http", ToText(mServer->LocalAddress()) },
                   { "peer", ToText(mTransport->LocalAddress()) } });
    mDeciding = std::thread([this] { Decide(); });
    return true;
  }

  void Leave()
  {
    mLogger->Log(observe::EventId::kProcessStopping);
    mRing.Push(LeaveInput{});
  }

  void Wait()
  {
    if (mDeciding.joinable()) {
      mDeciding.join();
    }
    // The last answers are queued; the server sends them before it stops.
    mServer->Stop();
    mClient->Stop();
    mTransport->Stop();
    mLogger->Log(observe::EventId::kProcessStopped);
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
                               .mMaxBodyBytes = bounds.mBodyBytes,
                               .mMaxHeaderBytes = bounds.mHeaderBytes,
                               .mMaxConnections = bounds.mConnections,
                               .mMaxHeldBytes = bounds.mCallerMemoryBytes },
      [this](http::ExchangeId aExchange, const http::HttpRequest& aRequest) {
        OnRequest(aExchange, aRequest);
      },
      [this](http::ExchangeId aExchange) {
        // Losing this would keep the caller's place for ever.
        mRing.Push(GoneInput{ aExchange });
      });
    mClient = std::make_unique<http::HttpClient>(
      http::HttpClientOptions{},
      [this](http::ClientCallId aCall, http::CallEvent aEvent) {
        // A lost piece would leave a hole in an answer: the upstreams' thread
        // waits for a slot, and so holds the upstreams back.
        mRing.Push(CallInput{ aCall, std::move(aEvent) });
      });
  }

  void OnFrame(const std::string& aFrame)
  {
    LastReason reason;
    auto envelope = wire::Decode<wire::PeerEnvelope>(aFrame, reason);
    // Peers' messages may be lost: the cores send them again.
    if (envelope) {
      mRing.TryPush(PeerInput{ std::move(*envelope) });
    }
  }

  void OnRequest(http::ExchangeId aExchange, const http::HttpRequest& aRequest)
  {
    const auto tree = mTree.Load();
    const bool fresh = mTree.IsConfirmedWithin(
      membership::ControlSessionOptions{}.mConfirmationGrace, ReadClock());
    const http::CallerApiContext context{ .mSettings = tree.get(),
                                          .mSettingsFresh = fresh,
                                          .mKeys = &mKeys,
                                          .mFreshKey = FreshKey() };
    http::CallerCommand command = http::ReadCallerRequest(aRequest, context);
    if (auto* refused = std::get_if<http::RefusedCommand>(&command)) {
      CountRefusal(*refused);
      mServer->Respond(aExchange, std::move(refused->mResponse));
      return;
    }
    if (!mRing.TryPush(CommandInput{ aExchange, std::move(command) })) {
      mCounters.Add(observe::CounterId::kRingFull);
      auto response = http::MakeErrorResponse(
        kStatusUnavailable, "overloaded", "too much waits to be decided");
      response.mHeaders["retry-after"] = "1";
      mServer->Respond(aExchange, std::move(response));
    }
  }

  void CountRefusal(const http::RefusedCommand& aRefused)
  {
    constexpr std::uint32_t kStatusUnauthorized = 401;
    constexpr std::uint32_t kStatusNotFound = 404;
    auto counter = observe::CounterId::kRefusedMalformed;
    if (aRefused.mResponse.mStatus == kStatusUnauthorized) {
      counter = observe::CounterId::kRefusedWrongKey;
      mLogger->Log(observe::EventId::kKeyRefused,
                   { { "kind", aRefused.mReason } });
    } else if (aRefused.mResponse.mStatus == kStatusNotFound) {
      counter = observe::CounterId::kRefusedUnknownService;
    } else if (aRefused.mResponse.mStatus == kStatusUnavailable) {
      counter = observe::CounterId::kRefusedNotConfirmed;
    }
    mCounters.Add(counter);
  }

  std::string FreshKey() { return wire::ToHex(wire::MakeNonce()); }

  void Decide()
  {
    TimePoint now = ReadClock();
    EntryDecider decider(
      NodeOptions(
        mSettings,
        Advertised(mSettings.mPeerAdvertise, mTransport->LocalAddress()),
        Advertised(mSettings.mHttpAdvertise, mServer->LocalAddress())),
      mSettings.mName.Value(),
      EntryParts{ *mServer, *mClient, *mTransport, mTree, mCounters, *mLogger },
      now);
    TimePoint nextTick = now;
    while (!decider.Left() && !mStopping) {
      const Duration wait = std::max(Duration(0), nextTick - now);
      auto input = mRing.Pop(wait);
      now = ReadClock();
      if (now >= nextTick) {
        // Before the input: a process that was frozen must learn that its
        // leases are over before it acts on anything that waited.
        decider.Tick(now);
        nextTick = now + kTick;
      }
      if (input) {
        decider.Take(std::move(*input), now);
      }
    }
    // Other threads must not wait for a reader that is gone.
    mRing.Close();
    RequestStop();
  }

  // First: it is aligned to cache lines.
  observe::Counters mCounters;
  settings::ProcessSettings mSettings;
  http::KeyHashes mKeys;
  SettingsHolder mTree;
  std::unique_ptr<observe::Logger> mLogger;
  BoundedRing<EntryInput> mRing;
  std::unique_ptr<wire::PeerTransport> mTransport;
  std::unique_ptr<http::HttpServer> mServer;
  std::unique_ptr<http::HttpClient> mClient;
  std::atomic<bool> mStopping{ false };
  std::thread mDeciding;
};

EntryHost::EntryHost(settings::ProcessSettings aSettings)
  : mImpl(std::make_unique<Impl>(std::move(aSettings)))
{
}

EntryHost::~EntryHost() = default;

bool
EntryHost::Start(LastReason& aReason)
{
  return mImpl->Start(aReason);
}

void
EntryHost::Leave()
{
  mImpl->Leave();
}

void
EntryHost::Wait()
{
  mImpl->Wait();
}

} // namespace peridotspool::runtime
