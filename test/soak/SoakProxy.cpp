#include "soak/SoakProxy.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <future>

namespace peridotspool::soak {

namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

/** How often held bytes ask whether they may pass. */
constexpr Ms kHeldCheck{ 15 };

} // namespace

/** Both halves of one connection; used on the proxy's thread. */
class ProxyLink : public std::enable_shared_from_this<ProxyLink>
{
public:
  ProxyLink(SoakProxy& aProxy,
            asio::ip::tcp::socket aCaller,
            int aFrom,
            int aTo)
    : mProxy(aProxy)
    , mForth{ .mFrom = aFrom, .mTo = aTo, .mIn = std::move(aCaller) }
    , mBack{ .mFrom = aTo,
             .mTo = aFrom,
             .mIn = asio::ip::tcp::socket(mForth.mIn.get_executor()) }
    , mTimers{ asio::steady_timer(mForth.mIn.get_executor()),
               asio::steady_timer(mForth.mIn.get_executor()) }
  {
  }

  bool Touches(int aMachine) const
  {
    return mForth.mFrom == aMachine || mForth.mTo == aMachine;
  }
  void Silence() { mSilent = true; }

  void Run(const asio::ip::tcp::endpoint& aTo)
  {
    mBack.mIn.async_connect(
      aTo, [self = shared_from_this()](const ErrorCode& aError) {
        if (aError) {
          self->Close();
          return;
        }
        self->Pump(self->mForth, self->mBack, self->mTimers[0]);
        self->Pump(self->mBack, self->mForth, self->mTimers[1]);
      });
  }

  void Close()
  {
    for (auto* socket : { &mForth.mIn, &mBack.mIn }) {
      ErrorCode ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

private:
  struct Way
  {
    int mFrom;
    int mTo;
    asio::ip::tcp::socket mIn;
    std::array<char, 16384> mBytes{};
  };

  void Pump(Way& aWay, Way& aOther, asio::steady_timer& aTimer)
  {
    aWay.mIn.async_read_some(
      asio::buffer(aWay.mBytes),
      [this, &aWay, &aOther, &aTimer, self = shared_from_this()](
        const ErrorCode& aError, std::size_t aCount) {
        if (mSilent) {
          mKept = self;
        } else if (aError) {
          Close();
        } else {
          const Ms delay =
            std::max(mProxy.mDelays[aWay.mFrom], mProxy.mDelays[aWay.mTo]);
          Later(delay, aWay, aOther, aTimer, aCount);
        }
      });
  }

  void Later(Ms aDelay,
             Way& aWay,
             Way& aOther,
             asio::steady_timer& aTimer,
             std::size_t aCount)
  {
    aTimer.expires_after(aDelay);
    aTimer.async_wait(
      [this, &aWay, &aOther, &aTimer, aCount, self = shared_from_this()](
        const ErrorCode&) {
        if (mSilent) {
          mKept = self;
        } else if (mProxy.mHeld.contains({ aWay.mFrom, aWay.mTo })) {
          Later(kHeldCheck, aWay, aOther, aTimer, aCount);
        } else {
          Pass(aWay, aOther, aTimer, aCount);
        }
      });
  }

  void Pass(Way& aWay,
            Way& aOther,
            asio::steady_timer& aTimer,
            std::size_t aCount)
  {
    asio::async_write(
      aOther.mIn,
      asio::buffer(aWay.mBytes, aCount),
      [this, &aWay, &aOther, &aTimer, self = shared_from_this()](
        const ErrorCode& aError, std::size_t) {
        if (aError) {
          Close();
        } else {
          Pump(aWay, aOther, aTimer);
        }
      });
  }

  SoakProxy& mProxy;
  Way mForth;
  Way mBack;
  std::array<asio::steady_timer, 2> mTimers;
  bool mSilent = false;
  /** A silenced connection stays open, as if something had forgotten it. */
  std::shared_ptr<ProxyLink> mKept;
};

SoakProxy::SoakProxy(const Places& aPlaces)
  : mPlaces(aPlaces)
{
}

SoakProxy::~SoakProxy()
{
  mIo.stop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

bool
SoakProxy::Start()
{
  for (int machine = 1; machine <= kMachines; ++machine) {
    for (const std::uint16_t port :
         { kPeerPort, kTunnelPort, kEntryPeerPort }) {
      const auto address = [&](const std::string& aHost) {
        return Tcp::endpoint(asio::ip::make_address(aHost), port);
      };
      Listener listener{ .mAcceptor = Tcp::acceptor(mIo),
                         .mTo = address(mPlaces.Own(machine)),
                         .mMachine = machine };
      ErrorCode error;
      listener.mAcceptor.open(Tcp::v4(), error);
      listener.mAcceptor.set_option(Tcp::acceptor::reuse_address(true), error);
      listener.mAcceptor.bind(address(mPlaces.Public(machine)), error);
      if (!error) {
        listener.mAcceptor.listen(asio::socket_base::max_listen_connections,
                                  error);
      }
      if (error) {
        return false;
      }
      mListeners.push_back(std::move(listener));
    }
  }
  for (std::size_t i = 0; i < mListeners.size(); ++i) {
    Accept(i);
  }
  mThread = std::thread([this] {
    const auto guard = asio::make_work_guard(mIo);
    mIo.run();
  });
  return true;
}

void
SoakProxy::Accept(std::size_t aListener)
{
  Listener& listener = mListeners[aListener];
  listener.mAcceptor.async_accept(
    [this, aListener, &listener](const ErrorCode& aError, Tcp::socket aSocket) {
      if (!aError) {
        ErrorCode ignored;
        const auto from = aSocket.remote_endpoint(ignored).address().to_v4();
        // The last number of a machine's own address is the machine's.
        const int machine = from.to_bytes()[3];
        const auto link = std::make_shared<ProxyLink>(
          *this, std::move(aSocket), machine, listener.mMachine);
        mLinks.remove_if([](const auto& aLink) { return aLink.expired(); });
        mLinks.push_back(link);
        link->Run(listener.mTo);
      }
      Accept(aListener);
    });
}

template<typename Step>
void
SoakProxy::OnThread(Step aStep)
{
  std::promise<void> done;
  asio::post(mIo, [&] {
    aStep();
    done.set_value();
  });
  done.get_future().wait();
}

template<typename Step>
void
SoakProxy::ForLinksOf(int aMachine, Step aStep)
{
  OnThread([&] {
    for (const auto& weak : mLinks) {
      const auto link = weak.lock();
      if (link && link->Touches(aMachine)) {
        aStep(*link);
      }
    }
  });
}

void
SoakProxy::Hold(int aFrom, int aTo, bool aHolds)
{
  OnThread([&] {
    if (aHolds) {
      mHeld.emplace(aFrom, aTo);
    } else {
      mHeld.erase({ aFrom, aTo });
    }
  });
}

void
SoakProxy::Delay(int aMachine, Ms aDelay)
{
  OnThread([&] { mDelays.at(static_cast<std::size_t>(aMachine)) = aDelay; });
}

void
SoakProxy::Silence(int aMachine)
{
  ForLinksOf(aMachine, [](ProxyLink& aLink) { aLink.Silence(); });
}

void
SoakProxy::ResetAll(int aMachine)
{
  ForLinksOf(aMachine, [](ProxyLink& aLink) { aLink.Close(); });
}

} // namespace peridotspool::soak
