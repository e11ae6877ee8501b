#include "gateway/CuttingLink.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <sys/socket.h>

namespace peridotspool::gateway {

namespace {

namespace net = http::net;

constexpr std::size_t kReadBytes = 4096;
constexpr std::chrono::milliseconds kFrozenPoll{ 5 };

} // namespace

struct CuttingLink::Pair
{
  explicit Pair(net::io_context& aIo)
    : mNear(aIo)
    , mFar(aIo)
  {
  }
  /** Ends both connections in order; the threads see it. */
  void End()
  {
    ::shutdown(mNear.native_handle(), SHUT_RDWR);
    ::shutdown(mFar.native_handle(), SHUT_RDWR);
  }

  http::Tcp::socket mNear;
  http::Tcp::socket mFar;
  std::thread mOn;
  std::thread mBack;
};

CuttingLink::CuttingLink(const Address& aTo)
  : mTo(net::ip::make_address(aTo.mHost), aTo.mPort)
  , mAcceptor(mIo, http::Tcp::endpoint(net::ip::make_address("127.0.0.1"), 0))
  , mAccepting([this] { Accept(); })
{
}

CuttingLink::~CuttingLink()
{
  mStopping = true;
  http::Tcp::socket knock(mIo);
  http::ErrorCode ignored;
  knock.connect(mAcceptor.local_endpoint(), ignored);
  mAccepting.join();
  for (const auto& pair : mPairs) {
    pair->End();
    pair->mOn.join();
    pair->mBack.join();
  }
}

Address
CuttingLink::Where() const
{
  return { "127.0.0.1", mAcceptor.local_endpoint().port() };
}

void
CuttingLink::Accept()
{
  for (;;) {
    auto pair = std::make_unique<Pair>(mIo);
    http::ErrorCode error;
    mAcceptor.accept(pair->mNear, error);
    if (mStopping || error) {
      return;
    }
    pair->mFar.connect(mTo, error);
    const std::ptrdiff_t cut = mCut.exchange(kNoCut);
    Pair& added = *pair;
    added.mOn = std::thread([&added] { PassOn(added); });
    added.mBack = std::thread([this, &added, cut] { PassBack(added, cut); });
    const std::lock_guard lock(mMutex);
    mPairs.push_back(std::move(pair));
  }
}

void
CuttingLink::PassOn(Pair& aPair)
{
  std::array<char, kReadBytes> bytes;
  http::ErrorCode error;
  while (!error) {
    const std::size_t got = aPair.mNear.read_some(net::buffer(bytes), error);
    if (!error) {
      net::write(aPair.mFar, net::buffer(bytes, got), error);
    }
  }
  aPair.End();
}

void
CuttingLink::PassBack(Pair& aPair, std::ptrdiff_t aCut)
{
  std::array<char, kReadBytes> bytes;
  http::ErrorCode error;
  std::size_t left = aCut == kNoCut ? SIZE_MAX : static_cast<std::size_t>(aCut);
  while (!error && left > 0) {
    std::size_t got = aPair.mFar.read_some(net::buffer(bytes), error);
    while (mFrozen && !mStopping) {
      std::this_thread::sleep_for(kFrozenPoll);
    }
    if (!error) {
      got = std::min(got, left);
      left -= got;
      mPassed += got;
      net::write(aPair.mNear, net::buffer(bytes, got), error);
    }
  }
  aPair.End();
}

} // namespace peridotspool::gateway
