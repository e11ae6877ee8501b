#include "peridotspool/http/HttpClient.h"

#include "http/ClientCall.h"
#include "peridotspool/base/Invariant.h"

#include <boost/asio/executor_work_guard.hpp>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

namespace peridotspool::http {

namespace {

constexpr std::chrono::seconds kSweepInterval{ 2 };

} // namespace

class HttpClient::Impl : public ClientCallOwner
{
public:
  Impl(HttpClientOptions aOptions, Handler aHandler)
    : mOptions(aOptions)
    , mHandler(std::move(aHandler))
  {
    Sweep();
    mThread = std::thread([this] { mIo.run(); });
  }

  void Start(ClientCallId aCall,
             const Address& aPeer,
             HttpRequest aRequest,
             std::chrono::milliseconds aSilenceTimeout);
  void Cancel(ClientCallId aCall);
  void Stop();

  net::io_context& Io() override { return mIo; }
  IdleConnections& Idle() override { return mIdle; }
  const HttpClientOptions& Options() const override { return mOptions; }
  void Emit(const ClientCall& aFrom, CallEvent aEvent, bool aLast) override;

  const HttpClientOptions mOptions;

private:
  /** Returns true iff the call was entered and may run. */
  bool Enter(ClientCallId aCall, const std::shared_ptr<ClientCall>& aNew);
  std::shared_ptr<ClientCall> Leave(ClientCallId aCall);
  void LeaveIfSame(const ClientCall& aCall);
  void Sweep();

  const Handler mHandler;
  net::io_context mIo{ 1 };
  net::executor_work_guard<net::io_context::executor_type> mWork{
    mIo.get_executor()
  };
  net::steady_timer mSweepTimer{ mIo };
  IdleConnections mIdle{ mOptions };
  std::mutex mMutex;
  std::unordered_map<ClientCallId, std::shared_ptr<ClientCall>> mCalls;
  bool mStopped = false;
  std::thread mThread;
};

bool
HttpClient::Impl::Enter(ClientCallId aCall,
                        const std::shared_ptr<ClientCall>& aNew)
{
  const std::lock_guard lock(mMutex);
  if (mStopped) {
    aNew->MuteEvents();
    return false;
  }
  PERIDOTSPOOL_INVARIANT(!mCalls.contains(aCall));
  mCalls.emplace(aCall, aNew);
  return mCalls.size() <= mOptions.mMaxCalls;
}

std::shared_ptr<ClientCall>
HttpClient::Impl::Leave(ClientCallId aCall)
{
  const std::lock_guard lock(mMutex);
  const auto node = mCalls.extract(aCall);
  return node ? node.mapped() : nullptr;
}

void
HttpClient::Impl::Start(ClientCallId aCall,
                        const Address& aPeer,
                        HttpRequest aRequest,
                        std::chrono::milliseconds aSilenceTimeout)
{
  const auto call = std::make_shared<ClientCall>(
    *this, aCall, aPeer, std::move(aRequest), aSilenceTimeout);
  const bool fits = Enter(aCall, call);
  net::post(mIo, [call, fits] {
    if (fits) {
      call->Run();
    } else {
      call->FailAsNotSent("too many calls");
    }
  });
}

void
HttpClient::Impl::Cancel(ClientCallId aCall)
{
  if (const auto call = Leave(aCall)) {
    call->MuteEvents();
    net::post(mIo, [call] { call->Abort(); });
  }
}

void
HttpClient::Impl::Emit(const ClientCall& aFrom, CallEvent aEvent, bool aLast)
{
  // The id is freed first, so that the handler may start it anew.
  if (aLast) {
    LeaveIfSame(aFrom);
  }
  mHandler(aFrom.Id(), std::move(aEvent));
}

// Another thread may have cancelled the call and started its id anew since the
// event was made; the new call must stay.
void
HttpClient::Impl::LeaveIfSame(const ClientCall& aCall)
{
  const std::lock_guard lock(mMutex);
  const auto found = mCalls.find(aCall.Id());
  if (found != mCalls.end() && found->second.get() == &aCall) {
    mCalls.erase(found);
  }
}

void
HttpClient::Impl::Sweep()
{
  mIdle.CloseOld();
  mSweepTimer.expires_after(kSweepInterval);
  mSweepTimer.async_wait([this](ErrorCode aError) {
    if (!aError) {
      Sweep();
    }
  });
}

void
HttpClient::Impl::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopped = true;
    for (const auto& [id, call] : mCalls) {
      call->MuteEvents();
    }
  }
  mIo.stop();
  if (mThread.joinable()) {
    mThread.join();
  }
  for (const auto& [id, call] : std::exchange(mCalls, {})) {
    call->Abort();
  }
  mIdle.CloseAll();
}

HttpClient::HttpClient(HttpClientOptions aOptions, Handler aHandler)
  : mImpl(std::make_shared<Impl>(aOptions, std::move(aHandler)))
{
}

HttpClient::~HttpClient()
{
  mImpl->Stop();
}

void
HttpClient::Start(ClientCallId aCall,
                  const Address& aPeer,
                  HttpRequest aRequest)
{
  mImpl->Start(
    aCall, aPeer, std::move(aRequest), mImpl->mOptions.mSilenceTimeout);
}

void
HttpClient::Start(ClientCallId aCall,
                  const Address& aPeer,
                  HttpRequest aRequest,
                  std::chrono::milliseconds aSilenceTimeout)
{
  mImpl->Start(aCall, aPeer, std::move(aRequest), aSilenceTimeout);
}

void
HttpClient::Cancel(ClientCallId aCall)
{
  mImpl->Cancel(aCall);
}

void
HttpClient::Stop()
{
  mImpl->Stop();
}

} // namespace peridotspool::http
