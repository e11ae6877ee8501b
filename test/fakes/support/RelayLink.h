#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>

namespace peridotspool::fakes {

/** Both halves of one relayed connection; used on the relay's thread. */
class RelayLink : public std::enable_shared_from_this<RelayLink>
{
public:
  using Tcp = boost::asio::ip::tcp;
  using ErrorCode = boost::system::error_code;

  RelayLink(Tcp::socket aCaller, std::chrono::milliseconds aDelay)
    : mCaller(std::move(aCaller))
    , mPeer(mCaller.get_executor())
    , mDelay(aDelay)
  {
  }

  void Run(const Tcp::endpoint& aTo)
  {
    mPeer.async_connect(aTo, [self = shared_from_this()](ErrorCode aError) {
      if (aError) {
        self->Close();
        return;
      }
      self->Pump(self->mCaller, self->mPeer, self->mToPeer);
      self->Pump(self->mPeer, self->mCaller, self->mToCaller);
    });
  }

  /** From now on nothing passes, and nobody is told, for good. */
  void Silence() { mSilent = true; }

  void Close()
  {
    ErrorCode ignored;
    mCaller.close(ignored);
    mPeer.close(ignored);
  }

private:
  using Buffer = std::array<char, 65536>;

  void Pump(Tcp::socket& aFrom, Tcp::socket& aTo, Buffer& aBuffer)
  {
    aFrom.async_read_some(
      boost::asio::buffer(aBuffer),
      [this, &aFrom, &aTo, &aBuffer, self = shared_from_this()](
        ErrorCode aError, std::size_t aCount) {
        if (mSilent) {
          return;
        }
        if (aError) {
          Close();
          return;
        }
        Later([this, &aFrom, &aTo, &aBuffer, aCount, self] {
          Pass(aFrom, aTo, aBuffer, aCount);
        });
      });
  }

  template<typename Step>
  void Later(Step aStep)
  {
    if (mDelay.count() == 0) {
      aStep();
      return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(
      mCaller.get_executor(), mDelay);
    timer->async_wait([timer, aStep](ErrorCode) { aStep(); });
  }

  void Pass(Tcp::socket& aFrom,
            Tcp::socket& aTo,
            Buffer& aBuffer,
            std::size_t aCount)
  {
    if (mSilent) {
      return;
    }
    boost::asio::async_write(
      aTo,
      boost::asio::buffer(aBuffer, aCount),
      [this, &aFrom, &aTo, &aBuffer, self = shared_from_this()](
        ErrorCode aError, std::size_t) {
        if (aError) {
          Close();
        } else {
          Pump(aFrom, aTo, aBuffer);
        }
      });
  }

  Tcp::socket mCaller;
  Tcp::socket mPeer;
  const std::chrono::milliseconds mDelay;
  bool mSilent = false;
  Buffer mToPeer;
  Buffer mToCaller;
};

} // namespace peridotspool::fakes
