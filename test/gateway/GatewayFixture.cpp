#include "gateway/GatewayFixture.h"

#include "gateway/TestNames.h"
#include "peridotspool/runtime/SystemClock.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <future>
#include <stdexcept>

namespace peridotspool::gateway {

namespace {

namespace net = http::net;

/** Returns the value of a field of a well-formed request, or empty. */
std::string
ValueOf(const std::string& aRequest, const std::string& aName)
{
  const std::size_t place = aRequest.find("\r\n" + aName + ": ");
  if (place == std::string::npos) {
    return {};
  }
  const std::size_t from = place + aName.size() + 4;
  return aRequest.substr(from, aRequest.find("\r\n", from) - from);
}

void
ReplaceAll(std::string& aText, const std::string& aFrom, const std::string& aTo)
{
  for (std::size_t place = aText.find(aFrom); place != std::string::npos;
       place = aText.find(aFrom, place + aTo.size())) {
    aText.replace(place, aFrom.size(), aTo);
  }
}

void
SetTimeout(http::Tcp::socket& aSocket, int aSeconds)
{
  const timeval wait{ aSeconds, 0 };
  ::setsockopt(
    aSocket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
}

Route
MakeRoute(const char* aName, RequestKind aKind, bool aResumable)
{
  return { .mName = aName,
           .mHost = "h.example",
           .mPrefix = std::string("/") + aName + "/",
           .mKind = aKind,
           .mShares = { { ServiceName("s"), 1 } },
           .mTimeout = std::chrono::milliseconds(1500),
           .mMaxAttempts = 2,
           .mPublic = true,
           .mResumable = aResumable };
}

/** Returns a route of streams with an objective of 1 s for the first event. */
Route
MakePromptRoute(const char* aName, bool aResumable)
{
  Route route = MakeRoute(aName, RequestKind::kStreaming, aResumable);
  route.mTargetLatency = std::chrono::seconds(1);
  route.mSticky = true;
  return route;
}

std::shared_ptr<const RouteTable>
MakeTable()
{
  RouteTableSource source;
  source.mVersion = 1;
  source.mServices = { ServiceProfile{ .mName = ServiceName("s") } };
  source.mRoutes = { MakeRoute("safe", RequestKind::kIdempotent, false),
                     MakeRoute("once", RequestKind::kNonIdempotent, false),
                     MakeRoute("stream", RequestKind::kStreaming, true),
                     MakePromptRoute("prompt", false),
                     MakePromptRoute("draft", true) };
  source.mLimits.mBodyBytes = 10000;
  source.mLimits.mHeaderBytes = 4000;
  LastReason reason;
  auto table = RouteTable::Make(std::move(source), reason);
  return std::make_shared<const RouteTable>(std::move(*table));
}

} // namespace

std::string
WholeAnswer(const std::string& aBody, unsigned aStatus)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " Said\r\nX-Id: {id}\r\nX-Stamp: proof\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string
RequestText(const std::string& aKind,
            const std::string& aId,
            const std::string& aBody)
{
  return "POST /" + aKind +
         "/x?q=1 HTTP/1.1\r\nHost: h.example\r\nX-Id: " + aId +
         "\r\nX-Deadline: 1000\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

ScriptedUpstream::ScriptedUpstream(Handler aHandler)
  : mHandler(std::move(aHandler))
  , mAcceptor(mIo, http::Tcp::endpoint(net::ip::make_address("127.0.0.1"), 0))
{
  mAccepting = std::thread([this] { Accept(); });
}

ScriptedUpstream::~ScriptedUpstream()
{
  mStopping = true;
  // A connection to the acceptor wakes the accepting thread.
  http::Tcp::socket knock(mIo);
  http::ErrorCode ignored;
  knock.connect(mAcceptor.local_endpoint(), ignored);
  mAccepting.join();
  {
    const std::lock_guard lock(mMutex);
    for (const auto& socket : mSockets) {
      ::shutdown(socket->native_handle(), SHUT_RDWR);
    }
  }
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

std::vector<std::string>
ScriptedUpstream::Requests() const
{
  const std::lock_guard lock(mMutex);
  return mRequests;
}

void
ScriptedUpstream::Accept()
{
  for (;;) {
    auto socket = std::make_shared<http::Tcp::socket>(mIo);
    http::ErrorCode error;
    mAcceptor.accept(*socket, error);
    if (mStopping || error) {
      return;
    }
    ++mConnections;
    const std::lock_guard lock(mMutex);
    mSockets.push_back(socket);
    mThreads.emplace_back([this, socket] { Serve(*socket); });
  }
}

void
ScriptedUpstream::Serve(http::Tcp::socket& aSocket)
{
  std::string buffer;
  for (;;) {
    const auto isWhole = [&](std::size_t& aSize) {
      const std::size_t head = buffer.find("\r\n\r\n");
      if (head == std::string::npos) {
        return false;
      }
      const std::string length =
        ValueOf(buffer.substr(0, head + 2), "Content-Length");
      aSize = head + 4 + (length.empty() ? 0 : std::stoul(length));
      return buffer.size() >= aSize;
    };
    std::size_t size = 0;
    while (!isWhole(size)) {
      char bytes[4096];
      http::ErrorCode error;
      const std::size_t got = aSocket.read_some(net::buffer(bytes), error);
      if (error) {
        return;
      }
      buffer.append(bytes, got);
    }
    const std::string request = buffer.substr(0, size);
    buffer.erase(0, request.size());
    {
      const std::lock_guard lock(mMutex);
      mRequests.push_back(request);
    }
    Script script = mHandler(request);
    ReplaceAll(script.mAnswer, "{id}", ValueOf(request, "X-Id"));
    http::ErrorCode error;
    net::write(aSocket, net::buffer(script.mAnswer), error);
    while (script.mThen == Script::Then::kRepeat && !error) {
      net::write(aSocket, net::buffer(script.mPiece), error);
      std::this_thread::sleep_for(script.mPeriod);
    }
    if (script.mThen == Script::Then::kRepeat) {
      ++mClosedWhileHanging;
      return;
    }
    if (script.mThen == Script::Then::kHang) {
      char byte = 0;
      aSocket.read_some(net::buffer(&byte, 1), error);
      ++mClosedWhileHanging;
      return;
    }
    if (script.mThen == Script::Then::kReset) {
      aSocket.set_option(net::socket_base::linger(true, 0), error);
    }
    if (script.mThen != Script::Then::kKeep) {
      const std::lock_guard lock(mMutex);
      std::erase_if(mSockets,
                    [&](const auto& aOne) { return aOne.get() == &aSocket; });
      aSocket.close(error);
      return;
    }
  }
}

Caller::Caller(const Address& aWhere)
  : mSocket(mIo)
{
  mSocket.connect(
    http::Tcp::endpoint(net::ip::make_address(aWhere.mHost), aWhere.mPort));
  SetTimeout(mSocket, 2);
}

void
Caller::Send(const std::string& aBytes)
{
  http::ErrorCode ignored;
  net::write(mSocket, net::buffer(aBytes), ignored);
}

bool
Caller::ReadSome()
{
  char bytes[4096];
  const auto got = ::recv(mSocket.native_handle(), bytes, sizeof(bytes), 0);
  if (got <= 0) {
    return false;
  }
  mBuffer.append(bytes, static_cast<std::size_t>(got));
  return true;
}

std::string
Caller::ReadTo(const std::string& aEnd)
{
  while (mBuffer.find(aEnd) == std::string::npos) {
    if (!ReadSome()) {
      return std::exchange(mBuffer, {});
    }
  }
  const std::size_t end = mBuffer.find(aEnd) + aEnd.size();
  std::string text = mBuffer.substr(0, end);
  mBuffer.erase(0, end);
  return text;
}

std::string
Caller::ReadAnswer()
{
  std::string head = ReadTo("\r\n\r\n");
  const std::string length = ValueOf(head, "Content-Length");
  if (length.empty()) {
    return head + ReadTo("\r\n0\r\n\r\n");
  }
  while (mBuffer.size() < std::stoul(length)) {
    if (!ReadSome()) {
      break;
    }
  }
  head += mBuffer.substr(0, std::stoul(length));
  mBuffer.erase(0, std::stoul(length));
  return head;
}

std::string
Caller::ReadAll(bool* aIsReset)
{
  errno = 0;
  while (ReadSome()) {
  }
  if (aIsReset != nullptr) {
    *aIsReset = errno == ECONNRESET;
  }
  return std::exchange(mBuffer, {});
}

bool
Caller::HasData()
{
  char byte = 0;
  return ::recv(mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool
Caller::IsClosed()
{
  char byte = 0;
  return ::recv(mSocket.native_handle(), &byte, 1, 0) == 0 || errno != EAGAIN;
}

void
Caller::Close()
{
  http::ErrorCode ignored;
  mSocket.close(ignored);
}

GatewayFixture::GatewayFixture(const limits::ConnectionBounds& aBounds)
{
  LastReason reason;
  settings::LogSettings log;
  log.mFile = "/dev/null";
  mLogger = observe::Logger::Open(log, "test", reason);
  mCore.reset(new GatewayCore{
    .mIo = mIo,
    .mNames = TestNames(),
    .mSelector =
      UpstreamSelector({ .mMinEjectTime = std::chrono::milliseconds(50) }),
    .mRetryBudget = ServiceRetryBudget({ .mFixedAllowance = 1000.0 }),
    .mPool = {},
    .mLogger = *mLogger,
    .mCounters = mCounters,
    .mNow = runtime::ReadClock,
    .mQuota = {},
    .mUsage = UsageCounter(std::chrono::seconds(5), 1),
    .mSendToLeader =
      [this](PeerMessage aMessage) {
        mSentToLeader.push_back(std::move(aMessage));
      },
    .mCoordinators = {},
    .mCoordinator = {},
    .mLoadQueries = {},
    .mSendToEntry = [](const Address&, const PeerMessage&) {},
    .mWallClock = runtime::ReadWallMicros,
    .mQuotaWaiters = {},
    .mTable = MakeTable() });
  mGateway = std::make_unique<Gateway>(
    *mCore,
    GatewayOptions{ .mListen = { "127.0.0.1", 0 }, .mBounds = aBounds });
  mTunnelServer = std::make_unique<TunnelServer>(
    *mCore, TunnelServerOptions{ .mListen = { "127.0.0.1", 0 } });
  mCore->mDialer.SetOnPathChanged([this] { mCore->OnUpstreamPathChanged(); });
  if (!mTunnelServer->Start(reason) || !mGateway->Start(reason)) {
    throw std::runtime_error(reason.Text());
  }
  mWhere = mGateway->Listening();
  mRelay = std::thread([this] {
    const auto guard = net::make_work_guard(mIo);
    mIo.run();
  });
}

GatewayFixture::~GatewayFixture()
{
  mIo.stop();
  mRelay.join();
}

void
GatewayFixture::OnRelay(const std::function<void()>& aCall)
{
  std::promise<void> done;
  net::post(mIo, [&] {
    aCall();
    done.set_value();
  });
  done.get_future().wait();
}

Address
GatewayFixture::PeerAddress() const
{
  Address address = mTunnelServer->Listening();
  ++address.mPort;
  return address;
}

void
GatewayFixture::TickUpstreamPath()
{
  const TimePoint now = mCore->mNow();
  mCore->TickUpstreamPath();
  mGateway->FailStalled(now);
  mTunnelServer->Sweep(now);
}

bool
GatewayFixture::IsQuiet()
{
  bool quiet = false;
  OnRelay([&] { quiet = mGateway->IsQuiet(); });
  return quiet;
}

std::size_t
GatewayFixture::Exchanges()
{
  std::size_t exchanges = 0;
  OnRelay([&] { exchanges = mGateway->Exchanges(); });
  return exchanges;
}

void
GatewayFixture::Add(const std::string& aName,
                    const Address& aWhere,
                    const std::string& aVersion)
{
  OnRelay([&] {
    const membership::KnownUpstream known{
      .mReport = { .mName = UpstreamName(aName),
                   .mService = ServiceName("s"),
                   .mAddress = aWhere,
                   .mSlots = 8,
                   .mVersion = VersionName(aVersion) }
    };
    mCore->mSelector.Update(UpstreamName(aName), &known, runtime::ReadClock());
  });
}

std::string
StatusOf(const std::string& aAnswer)
{
  return aAnswer.substr(0, std::min<std::size_t>(12, aAnswer.size()));
}

bool
Eventually(const std::function<bool()>& aCondition)
{
  for (int i = 0; i < 200; ++i) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

} // namespace peridotspool::gateway
