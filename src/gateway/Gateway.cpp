#include "gateway/Gateway.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <vector>

namespace peridotspool::gateway {

namespace {

namespace net = http::net;

constexpr Duration kSweepPeriod = std::chrono::milliseconds(500);
constexpr std::chrono::milliseconds kAcceptBackoff{ 20 };
constexpr int kBacklog = 1024;

} // namespace

Gateway::Gateway(GatewayCore& aCore, GatewayOptions aOptions)
  : mCore(aCore)
  , mOptions(std::move(aOptions))
  , mAcceptor(aCore.mIo)
  , mAcceptTimer(aCore.mIo)
{
}

bool
Gateway::Start(LastReason& aReason)
{
  http::ErrorCode error;
  const auto host = net::ip::make_address(mOptions.mListen.mHost, error);
  const http::Tcp::endpoint endpoint(host, mOptions.mListen.mPort);
  if (!error) {
    mAcceptor.open(endpoint.protocol(), error);
  }
  if (!error) {
    mAcceptor.set_option(net::socket_base::reuse_address(true), error);
    mAcceptor.bind(endpoint, error);
  }
  if (!error) {
    mAcceptor.listen(kBacklog, error);
  }
  if (error) {
    aReason.Set("cannot listen on " + ToText(mOptions.mListen) + ": " +
                error.message());
    return false;
  }
  Accept();
  return true;
}

void
Gateway::Accept()
{
  mAcceptor.async_accept(
    [this](http::ErrorCode aError, http::Tcp::socket aSocket) {
      if (!mAcceptor.is_open()) {
        return;
      }
      if (aError) {
        // Out of descriptors, most likely: at once again would spin.
        mAcceptTimer.expires_after(kAcceptBackoff);
        mAcceptTimer.async_wait([this](http::ErrorCode aCancelled) {
          if (!aCancelled) {
            Accept();
          }
        });
        return;
      }
      if (mLinks.size() < mOptions.mMaxConnections) {
        auto link = std::make_shared<CallerLink>(std::move(aSocket), *this);
        mLinks.emplace(link.get(), link);
        link->Run();
      }
      Accept();
    });
}

void
Gateway::OnRequest(const std::shared_ptr<CallerLink>& aLink,
                   CallerRequest aRequest)
{
  auto exchange = std::make_shared<Exchange>(mCore, aLink, std::move(aRequest));
  CallerLink* const link = aLink.get();
  mExchanges[link] = exchange;
  exchange->OnOver([this, link, weak = std::weak_ptr(exchange)] {
    // Not at once: the exchange is still running. The link may have begun its
    // next one by then.
    net::post(mCore.mIo, [this, link, exchange = weak.lock()] {
      const auto found = mExchanges.find(link);
      if (found != mExchanges.end() && found->second == exchange) {
        mExchanges.erase(found);
      }
    });
  });
  exchange->Start();
}

void
Gateway::OnGone(CallerLink& aLink)
{
  const auto found = mExchanges.find(&aLink);
  if (found != mExchanges.end()) {
    const auto exchange = found->second;
    exchange->Cancel();
  }
}

void
Gateway::OnClosed(CallerLink& aLink)
{
  const auto found = mLinks.find(&aLink);
  if (found != mLinks.end()) {
    net::post(mCore.mIo, [link = found->second] { (void)link; });
    mLinks.erase(found);
  }
}

void
Gateway::OnMalformed(unsigned aStatus, const std::string& aReason)
{
  mCore.mCounters.Add(aStatus == 400 ? observe::CounterId::kRefusedMalformed
                                     : observe::CounterId::kRefusedBound);
  mCore.mLogger.Log(observe::EventId::kHttpBoundExceeded,
                    { { "status", aStatus }, { "reason", aReason } });
}

CallerLimits
Gateway::Limits() const
{
  return mCore.mTable ? mCore.mTable->Limits() : CallerLimits{};
}

void
Gateway::Sweep(TimePoint aNow)
{
  if (aNow - mSweptAt < kSweepPeriod) {
    return;
  }
  mSweptAt = aNow;
  std::vector<std::shared_ptr<CallerLink>> links;
  links.reserve(mLinks.size());
  for (const auto& [key, link] : mLinks) {
    links.push_back(link);
  }
  for (const auto& link : links) {
    link->Sweep(aNow);
  }
  mCore.mPool.Sweep(aNow);
}

// An exchange is over when its answer's last bytes are queued. A process that
// ended then would cut the answer of a caller that reads slowly.
bool
Gateway::IsQuiet() const
{
  return mExchanges.empty() &&
         std::all_of(mLinks.begin(), mLinks.end(), [](const auto& aPair) {
           return aPair.second->QueuedBytes() == 0;
         });
}

void
Gateway::StopAccepting()
{
  http::ErrorCode ignored;
  mAcceptor.close(ignored);
}

void
Gateway::CloseIdle()
{
  std::vector<std::shared_ptr<CallerLink>> links;
  for (const auto& [key, link] : mLinks) {
    if (link->IsIdle()) {
      links.push_back(link);
    }
  }
  for (const auto& link : links) {
    link->Abort();
  }
}

} // namespace peridotspool::gateway
