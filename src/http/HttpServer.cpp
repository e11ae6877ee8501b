#include "peridotspool/http/HttpServer.h"

#include "peridotspool/base/SteadyClock.h"

#include "http/ServerConnection.h"

#include <atomic>
#include <thread>
#include <unordered_map>

namespace peridotspool::http {

namespace {

/** How long Stop waits for slow readers to take what is queued. */
constexpr std::chrono::seconds kStopGrace{ 2 };
constexpr std::chrono::milliseconds kAcceptBackoff{ 50 };
/** Connections over the bound that are told so; more are just closed. */
constexpr std::size_t kTurnedAwayAtOnce = 64;

} // namespace

class HttpServer::Impl : public ServerConnectionOwner
{
public:
  Impl(HttpServerOptions aOptions,
       RequestHandler aOnRequest,
       GoneHandler aOnGone)
    : mOptions(std::move(aOptions))
    , mOnRequest(std::move(aOnRequest))
    , mOnGone(std::move(aOnGone))
    , mBudget({ .mTotalBytes = mOptions.mMaxHeldBytes,
                .mConnections = mOptions.mMaxConnections })
  {
  }

  bool Start(LastReason& aReason);
  Address LocalAddress() const { return mLocal; }
  void StopAccepting();
  void Stop();
  void StopAtOnce();

  /** Runs aAnswer(connection) on the thread, if the exchange still lives. */
  template<typename Answer>
  void WithExchange(ExchangeId aExchange, Answer aAnswer)
  {
    net::post(mIo, [this, aExchange, answer = std::move(aAnswer)]() mutable {
      const auto found = mExchanges.find(aExchange);
      if (found != mExchanges.end()) {
        const auto connection = found->second;
        answer(*connection);
      }
    });
  }

  ExchangeId Opened(const std::shared_ptr<ServerConnection>& aFrom,
                    HttpRequest aRequest) override;
  void Completed(ExchangeId aExchange) override;
  void Gone(ExchangeId aExchange) override;
  void Closed(const std::shared_ptr<ServerConnection>& aWhich) override;
  void RefusedForBound() override { ++mRefusedForBounds; }
  void Held(const ServerConnection& aWhich) override;
  void EnforceBounds() override;
  bool MayKeepAlive() const override { return mAccepting; }

  std::atomic<std::size_t> mOpenExchanges = 0;
  std::atomic<std::uint64_t> mRefusedForBounds = 0;

private:
  bool Listen(ErrorCode& aError);
  void Accept();
  void OnAccept(ErrorCode aError, Tcp::socket aSocket);
  void Serve(Tcp::socket aSocket);
  /** Returns false iff the connections are at their bound, and all in use. */
  bool MakeRoomForConnection();
  void CloseAcceptor();
  void BeginStop();
  void Join();

  const HttpServerOptions mOptions;
  const RequestHandler mOnRequest;
  const GoneHandler mOnGone;
  net::io_context mIo{ 1 };
  Tcp::acceptor mAcceptor{ mIo };
  net::steady_timer mAcceptTimer{ mIo };
  net::steady_timer mStopTimer{ mIo };
  Address mLocal;
  bool mAccepting = true;
  bool mStopping = false;
  ExchangeId mLastExchange = 0;
  std::unordered_map<ExchangeId, std::shared_ptr<ServerConnection>> mExchanges;
  limits::ConnectionBudget mBudget;
  bool mIsEnforcing = false;
  std::unordered_map<limits::ConnectionId, std::shared_ptr<ServerConnection>>
    mConnections;
  std::thread mThread;
};

bool
HttpServer::Impl::Listen(ErrorCode& aError)
{
  const auto host = net::ip::make_address(mOptions.mListen.mHost, aError);
  if (aError) {
    return false;
  }
  const Tcp::endpoint endpoint(host, mOptions.mListen.mPort);
  mAcceptor.open(endpoint.protocol(), aError);
  if (!aError) {
    mAcceptor.set_option(Tcp::acceptor::reuse_address(true), aError);
  }
  if (!aError) {
    mAcceptor.bind(endpoint, aError);
  }
  if (!aError) {
    mAcceptor.listen(net::socket_base::max_listen_connections, aError);
  }
  return !aError;
}

bool
HttpServer::Impl::Start(LastReason& aReason)
{
  ErrorCode error;
  if (!Listen(error)) {
    aReason.Set("cannot listen on " + ToText(mOptions.mListen) + ": " +
                error.message());
    return false;
  }
  mLocal = { mOptions.mListen.mHost, mAcceptor.local_endpoint(error).port() };
  Accept();
  mThread = std::thread([this] { mIo.run(); });
  return true;
}

void
HttpServer::Impl::Accept()
{
  mAcceptor.async_accept([this](ErrorCode aError, Tcp::socket aSocket) {
    OnAccept(aError, std::move(aSocket));
  });
}

void
HttpServer::Impl::OnAccept(ErrorCode aError, Tcp::socket aSocket)
{
  if (!mAccepting) {
    return;
  }
  if (aError) {
    // Out of file descriptors, accepting fails again at once: the thread would
    // spin and serve nobody. A pause lets running exchanges free some.
    mAcceptTimer.expires_after(kAcceptBackoff);
    mAcceptTimer.async_wait([this](ErrorCode aCancelled) {
      if (!aCancelled && mAccepting) {
        Accept();
      }
    });
    return;
  }
  Serve(std::move(aSocket));
  Accept();
}

void
HttpServer::Impl::Serve(Tcp::socket aSocket)
{
  const bool full = !MakeRoomForConnection();
  if (full) {
    RefusedForBound();
  }
  if (mConnections.size() >= mOptions.mMaxConnections + kTurnedAwayAtOnce) {
    return;
  }
  const limits::ConnectionId id = mBudget.Open(SteadyNow());
  const auto connection =
    std::make_shared<ServerConnection>(std::move(aSocket), mOptions, *this, id);
  mConnections.emplace(id, connection);
  if (full) {
    connection->TurnAway();
  } else {
    connection->Run();
  }
}

bool
HttpServer::Impl::MakeRoomForConnection()
{
  const auto replaced =
    mBudget.IsFull() ? mBudget.FindReplaceable(SteadyNow()) : std::nullopt;
  if (replaced) {
    RefusedForBound();
    const auto connection = mConnections.at(*replaced);
    connection->Close();
  }
  return !mBudget.IsFull();
}

void
HttpServer::Impl::Held(const ServerConnection& aWhich)
{
  mBudget.Update(aWhich.Id(), aWhich.State(), SteadyNow());
  // Deferred, because the connection may be in the midst of a step.
  if (mBudget.IsOver() && !std::exchange(mIsEnforcing, true)) {
    net::post(mIo, [this] {
      mIsEnforcing = false;
      EnforceBounds();
    });
  }
}

void
HttpServer::Impl::EnforceBounds()
{
  const TimePoint now = SteadyNow();
  // Each connection gives way once: it is closed or drained after that.
  while (const auto overrun = mBudget.FindOverrun(now)) {
    const auto connection = mConnections.at(*overrun);
    connection->GiveWay();
  }
}

ExchangeId
HttpServer::Impl::Opened(const std::shared_ptr<ServerConnection>& aFrom,
                         HttpRequest aRequest)
{
  const ExchangeId exchange = ++mLastExchange;
  mExchanges.emplace(exchange, aFrom);
  ++mOpenExchanges;
  if (!mStopping) {
    mOnRequest(exchange, std::move(aRequest));
  }
  return exchange;
}

void
HttpServer::Impl::Completed(ExchangeId aExchange)
{
  mOpenExchanges -= mExchanges.erase(aExchange);
}

void
HttpServer::Impl::Gone(ExchangeId aExchange)
{
  Completed(aExchange);
  if (!mStopping) {
    mOnGone(aExchange);
  }
}

void
HttpServer::Impl::Closed(const std::shared_ptr<ServerConnection>& aWhich)
{
  mBudget.Close(aWhich->Id());
  mConnections.erase(aWhich->Id());
  if (mStopping && mConnections.empty()) {
    mIo.stop();
  }
}

void
HttpServer::Impl::CloseAcceptor()
{
  mAccepting = false;
  ErrorCode ignored;
  mAcceptor.close(ignored);
  mAcceptTimer.cancel();
}

void
HttpServer::Impl::StopAccepting()
{
  net::post(mIo, [this] { CloseAcceptor(); });
}

void
HttpServer::Impl::BeginStop()
{
  mStopping = true;
  CloseAcceptor();
  const auto connections = mConnections;
  for (const auto& [id, connection] : connections) {
    connection->CloseWhenSent();
  }
  if (mConnections.empty()) {
    mIo.stop();
    return;
  }
  // A reader that takes nothing would hold the stop for ever.
  mStopTimer.expires_after(kStopGrace);
  mStopTimer.async_wait([this](ErrorCode) { mIo.stop(); });
}

void
HttpServer::Impl::Join()
{
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
HttpServer::Impl::Stop()
{
  net::post(mIo, [this] { BeginStop(); });
  Join();
}

void
HttpServer::Impl::StopAtOnce()
{
  mIo.stop();
  Join();
}

HttpServer::HttpServer(HttpServerOptions aOptions,
                       RequestHandler aOnRequest,
                       GoneHandler aOnGone)
  : mImpl(std::make_shared<Impl>(std::move(aOptions),
                                 std::move(aOnRequest),
                                 std::move(aOnGone)))
{
}

HttpServer::~HttpServer()
{
  mImpl->StopAtOnce();
}

bool
HttpServer::Start(LastReason& aReason)
{
  return mImpl->Start(aReason);
}

Address
HttpServer::LocalAddress() const
{
  return mImpl->LocalAddress();
}

void
HttpServer::Respond(ExchangeId aExchange, HttpResponse aResponse)
{
  mImpl->WithExchange(aExchange,
                      [aExchange, response = std::move(aResponse)](
                        ServerConnection& aTo) mutable {
                        aTo.Respond(aExchange, std::move(response));
                      });
}

void
HttpServer::BeginStream(ExchangeId aExchange, HttpResponse aHead)
{
  mImpl->WithExchange(
    aExchange, [aExchange, head = std::move(aHead)](ServerConnection& aTo) {
      aTo.BeginStream(aExchange, head);
    });
}

void
HttpServer::SendPiece(ExchangeId aExchange, std::string aBytes)
{
  mImpl->WithExchange(
    aExchange, [aExchange, bytes = std::move(aBytes)](ServerConnection& aTo) {
      aTo.SendPiece(aExchange, bytes);
    });
}

void
HttpServer::EndStream(ExchangeId aExchange)
{
  mImpl->WithExchange(aExchange, [aExchange](ServerConnection& aTo) {
    aTo.EndStream(aExchange);
  });
}

void
HttpServer::StopAccepting()
{
  mImpl->StopAccepting();
}

void
HttpServer::Stop()
{
  mImpl->Stop();
}

std::size_t
HttpServer::OpenExchanges() const
{
  return mImpl->mOpenExchanges;
}

std::uint64_t
HttpServer::RefusedForBounds() const
{
  return mImpl->mRefusedForBounds;
}

} // namespace peridotspool::http
