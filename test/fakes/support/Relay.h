#pragma once

#include "fakes/support/RelayLink.h"
#include "peridotspool/base/Address.h"
#include "peridotspool/base/LastReason.h"

#include <boost/asio/post.hpp>
#include <future>
#include <thread>
#include <vector>

namespace peridotspool::fakes {

/** A TCP relay that can be told to cut, to delay or to go silent. */
class Relay
{
public:
  Relay(Address aListen, const Address& aTo)
    : mListen(std::move(aListen))
    , mTo(boost::asio::ip::make_address(aTo.mHost), aTo.mPort)
  {
  }

  ~Relay()
  {
    mIo.stop();
    if (mThread.joinable()) {
      mThread.join();
    }
  }
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  bool Start(LastReason& aReason)
  {
    RelayLink::ErrorCode error;
    const RelayLink::Tcp::endpoint endpoint(
      boost::asio::ip::make_address(mListen.mHost), mListen.mPort);
    mAcceptor.open(endpoint.protocol(), error);
    mAcceptor.set_option(RelayLink::Tcp::acceptor::reuse_address(true), error);
    mAcceptor.bind(endpoint, error);
    if (!error) {
      mAcceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      aReason.Set("cannot listen on " + ToText(mListen));
      return false;
    }
    Accept();
    mThread = std::thread([this] { mIo.run(); });
    return true;
  }

  Address LocalAddress() const
  {
    return { mListen.mHost, mAcceptor.local_endpoint().port() };
  }

  /** Closes all connections, and new ones as they come. */
  void Cut()
  {
    OnThread([this] {
      mCut = true;
      for (const auto& link : Living()) {
        link->Close();
      }
    });
  }

  /** Present connections pass nothing for good; new ones too if told. */
  void Silence(bool aNewOnesToo)
  {
    OnThread([this, aNewOnesToo] {
      mSilent = aNewOnesToo;
      for (const auto& link : Living()) {
        link->Silence();
      }
    });
  }

  /** New connections pass again; those that were silenced never do. */
  void Heal()
  {
    OnThread([this] {
      mCut = false;
      mSilent = false;
    });
  }

  /** Holds each piece on new connections for a while. */
  void Delay(std::chrono::milliseconds aDelay)
  {
    OnThread([this, aDelay] { mDelay = aDelay; });
  }

private:
  /** Returns once aStep was run on the thread. */
  template<typename Step>
  void OnThread(Step aStep)
  {
    std::promise<void> ran;
    boost::asio::post(mIo, [&] {
      aStep();
      ran.set_value();
    });
    ran.get_future().wait();
  }

  void Accept()
  {
    mAcceptor.async_accept(
      [this](RelayLink::ErrorCode aError, RelayLink::Tcp::socket aSocket) {
        if (!aError && !mCut) {
          const auto link =
            std::make_shared<RelayLink>(std::move(aSocket), mDelay);
          mLinks.push_back(link);
          if (mSilent) {
            mKeptSilent.push_back(link);
          } else {
            link->Run(mTo);
          }
        }
        Accept();
      });
  }

  std::vector<std::shared_ptr<RelayLink>> Living()
  {
    std::vector<std::shared_ptr<RelayLink>> living;
    for (const auto& link : mLinks) {
      if (const auto alive = link.lock()) {
        living.push_back(alive);
        mKeptSilent.push_back(alive);
      }
    }
    mLinks.assign(living.begin(), living.end());
    return living;
  }

  const Address mListen;
  const RelayLink::Tcp::endpoint mTo;
  boost::asio::io_context mIo{ 1 };
  RelayLink::Tcp::acceptor mAcceptor{ mIo };
  std::vector<std::weak_ptr<RelayLink>> mLinks;
  /** Silenced connections stay open, as if something had forgotten them. */
  std::vector<std::shared_ptr<RelayLink>> mKeptSilent;
  bool mCut = false;
  bool mSilent = false;
  std::chrono::milliseconds mDelay{ 0 };
  std::thread mThread;
};

} // namespace peridotspool::fakes
