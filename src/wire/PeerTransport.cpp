#include "peridotspool/wire/PeerTransport.h"

#include "peridotspool/base/SteadyClock.h"
#include "peridotspool/limits/ConnectionBudget.h"
#include "wire/PeerConnection.h"
#include "wire/PeerFailures.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

namespace peridotspool::wire {

namespace asio = boost::asio;
using boost::system::error_code;
using ConnectionPointer = std::shared_ptr<PeerConnection>;

namespace {

/** How long Stop waits for queued frames to leave. */
constexpr std::chrono::milliseconds kStopGrace{ 200 };
/** How long after a failed connect the next one to that peer is tried. */
constexpr std::chrono::milliseconds kReconnectPause{ 50 };
constexpr unsigned kMostDoublings = 8;
constexpr std::chrono::milliseconds kAcceptBackoff{ 50 };

struct AtomicCounts
{
  std::atomic<std::uint64_t> mFramesSent{ 0 };
  std::atomic<std::uint64_t> mFramesReceived{ 0 };
  std::atomic<std::uint64_t> mBytesSent{ 0 };
  std::atomic<std::uint64_t> mBytesReceived{ 0 };
  std::atomic<std::uint64_t> mFramesDropped{ 0 };
  std::atomic<std::uint64_t> mFramesOversized{ 0 };
  std::atomic<std::uint64_t> mHandshakesRefused{ 0 };
  std::atomic<std::uint64_t> mConnectionsSilent{ 0 };
  std::atomic<std::uint64_t> mConnectionsOpened{ 0 };
};

} // namespace

class PeerTransport::Impl
{
public:
  Impl(PeerTransportOptions aOptions, FrameHandler aOnFrame)
    : mOptions(std::move(aOptions))
    , mOnFrame(std::move(aOnFrame))
    , mAcceptor(mContext)
    , mReceiving({ .mTotalBytes = mOptions.mMaxReceivedInAll,
                   .mConnections = mOptions.mMaxConnections })
  {
  }

  // Stopping throws only when memory has run out, which may end the process.
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~Impl() { Stop(); }

  bool Start(LastReason& aReason)
  {
    error_code error;
    const Address bind = mOptions.mBind.value_or(mOptions.mListen);
    const auto host = asio::ip::make_address(bind.mHost, error);
    if (error) {
      aReason.Set("not an IP number: " + bind.mHost);
      return false;
    }
    if (!Listen(asio::ip::tcp::endpoint(host, bind.mPort), error)) {
      aReason.Set("cannot listen on " + ToText(bind) + ": " + error.message());
      return false;
    }
    if (!mOptions.mBind) {
      mOptions.mListen.mPort = mAcceptor.local_endpoint().port();
    }
    Accept();
    mThread = std::thread([this] { mContext.run(); });
    return true;
  }

  const Address& LocalAddress() const { return mOptions.mListen; }

  void Send(const Address& aPeer, std::string aFrame, FramePriority aPriority)
  {
    const std::size_t size = aFrame.size();
    const bool isBulk = aPriority == FramePriority::kBulk;
    if (isBulk && mPosted + size > mOptions.mMaxQueuedWithBulk) {
      ++mCounts.mFramesDropped;
      return;
    }
    mPosted += size;
    asio::post(
      mContext,
      [this, aPeer, aPriority, size, frame = std::move(aFrame)]() mutable {
        mPosted -= size;
        SendHere(aPeer, std::move(frame), aPriority);
      });
  }

  void Stop()
  {
    if (!mThread.joinable()) {
      return;
    }
    asio::post(mContext, [this] {
      error_code ignored;
      mAcceptor.close(ignored);
      mStopTimer.expires_after(kStopGrace);
      mStopTimer.async_wait([this](const error_code&) { mContext.stop(); });
    });
    mThread.join();
  }

  PeerTransportCounts Counts() const
  {
    return PeerTransportCounts{
      .mFramesSent = mCounts.mFramesSent,
      .mFramesReceived = mCounts.mFramesReceived,
      .mBytesSent = mCounts.mBytesSent,
      .mBytesReceived = mCounts.mBytesReceived,
      .mFramesDropped = mCounts.mFramesDropped,
      .mFramesOversized = mCounts.mFramesOversized,
      .mHandshakesRefused = mCounts.mHandshakesRefused,
      .mConnectionsSilent = mCounts.mConnectionsSilent,
      .mConnectionsOpened = mCounts.mConnectionsOpened,
    };
  }

  std::vector<Address> Unreachable() const
  {
    const std::lock_guard lock(mFailedMutex);
    return mFailures.Lasting(SteadyNow());
  }

private:
  void NoteFailure(const Address& aPeer)
  {
    const std::lock_guard lock(mFailedMutex);
    mFailures.RecordFailure(aPeer, SteadyNow());
  }

  void NoteSuccess(const Address& aPeer)
  {
    const std::lock_guard lock(mFailedMutex);
    mFailures.RecordSuccess(aPeer);
  }

  bool Listen(const asio::ip::tcp::endpoint& aEndpoint, error_code& aError)
  {
    mAcceptor.open(aEndpoint.protocol(), aError);
    if (aError) {
      return false;
    }
    mAcceptor.set_option(asio::socket_base::reuse_address(true), aError);
    mAcceptor.bind(aEndpoint, aError);
    if (aError) {
      return false;
    }
    mAcceptor.listen(asio::socket_base::max_listen_connections, aError);
    return !aError;
  }

  void Accept()
  {
    mAcceptor.async_accept(
      [this](const error_code& aError, asio::ip::tcp::socket aSocket) {
        if (aError == asio::error::operation_aborted || !mAcceptor.is_open()) {
          return;
        }
        if (aError) {
          // Probably out of descriptors; accepting at once would busy-loop.
          mAcceptTimer.expires_after(kAcceptBackoff);
          mAcceptTimer.async_wait([this](const error_code& aCancelled) {
            if (!aCancelled && mAcceptor.is_open()) {
              Accept();
            }
          });
          return;
        }
        if (MakeRoomForConnection()) {
          MakeConnection(
            std::move(aSocket), PeerRole::kServer, mOptions.mConnectTimeout)
            ->StartAccepted();
        }
        Accept();
      });
  }

  bool MakeRoomForConnection()
  {
    if (mReceiving.IsFull()) {
      if (const auto replaced = mReceiving.FindReplaceable(SteadyNow())) {
        CloseConnection(*replaced, "replaced by a new connection");
      }
    }
    return !mReceiving.IsFull();
  }

  void CloseConnection(limits::ConnectionId aId, const std::string& aReason)
  {
    const auto found =
      std::find_if(mOpen.begin(), mOpen.end(), [&](const auto& aConnection) {
        return aConnection->Id() == aId;
      });
    if (found != mOpen.end()) {
      // Closing erases it as well.
      const auto node = mOpen.extract(found);
      node.value()->Close(aReason);
    }
  }

  void OnHeld(const ConnectionPointer& aConnection)
  {
    mReceiving.Update(aConnection->Id(), aConnection->State(), SteadyNow());
    while (const auto overrun = mReceiving.FindOverrun(SteadyNow())) {
      CloseConnection(*overrun, "no memory for its frame");
    }
  }

  ConnectionPointer MakeConnection(asio::ip::tcp::socket aSocket,
                                   PeerRole aRole,
                                   std::chrono::milliseconds aConnectTimeout)
  {
    auto connection = std::make_shared<PeerConnection>(
      std::move(aSocket),
      PeerSessionOptions{ .mRole = aRole,
                          .mSharedKey = mOptions.mSharedKey,
                          .mOwnListen = ToText(mOptions.mListen),
                          .mMaxFrameBytes = mOptions.mMaxFrameBytes },
      PeerConnection::Times{ .mHeartbeat = mOptions.mHeartbeat,
                             .mSilence = mOptions.mSilence,
                             .mIdle = mOptions.mIdle,
                             .mConnectTimeout = aConnectTimeout },
      MakeHandlers(),
      mReceiving.Open(SteadyNow()));
    mOpen.insert(connection);
    ++mCounts.mConnectionsOpened;
    return connection;
  }

  PeerConnection::Handlers MakeHandlers()
  {
    return PeerConnection::Handlers{
      .mOnFrame =
        [this](std::string aFrame) {
          ++mCounts.mFramesReceived;
          mOnFrame(std::move(aFrame));
        },
      .mOnAuthenticated =
        [this](const ConnectionPointer& aConnection) {
          // The newest connection is used: an older one to the same process
          // may already be dead without our knowing.
          mByPeer[aConnection->Peer()] = aConnection;
          mFailedTries.erase(aConnection->Peer());
          NoteSuccess(aConnection->Peer());
        },
      .mOnClosed =
        [this](const ConnectionPointer& aConnection,
               const ConnectionEnd& aEnd) { OnClosed(aConnection, aEnd); },
      .mOnBytes =
        [this](std::size_t aReceived, std::size_t aSent) {
          mCounts.mBytesReceived += aReceived;
          mCounts.mBytesSent += aSent;
        },
      .mOnHeld =
        [this](const ConnectionPointer& aConnection) { OnHeld(aConnection); },
    };
  }

  void OnClosed(const ConnectionPointer& aConnection, const ConnectionEnd& aEnd)
  {
    mOpen.erase(aConnection);
    mReceiving.Close(aConnection->Id());
    const auto found = mByPeer.find(aConnection->Peer());
    if (found != mByPeer.end() && found->second == aConnection) {
      mByPeer.erase(found);
    }
    if (aEnd.mSilent) {
      ++mCounts.mConnectionsSilent;
    }
    const bool known = aConnection->Peer().mPort != 0;
    if (known && (aEnd.mSilent || !aEnd.mAuthenticated)) {
      NoteFailure(aConnection->Peer());
    }
    if (!aEnd.mAuthenticated) {
      ++mCounts.mHandshakesRefused;
      mNotBefore[aConnection->Peer()] =
        std::chrono::steady_clock::now() + kReconnectPause;
      if (known) {
        ++mFailedTries[aConnection->Peer()];
      }
    }
  }

  void SendHere(const Address& aPeer,
                std::string aFrame,
                FramePriority aPriority)
  {
    if (aFrame.size() > mOptions.mMaxFrameBytes) {
      ++mCounts.mFramesOversized;
      ++mCounts.mFramesDropped;
      return;
    }
    ConnectionPointer connection = ConnectionTo(aPeer);
    const std::size_t size = aFrame.size();
    if (!connection || connection->QueuedBytes() > mOptions.mMaxQueuedBytes ||
        !HasRoom(size, aPriority) ||
        !connection->Send(std::move(aFrame), aPriority)) {
      ++mCounts.mFramesDropped;
      return;
    }
    mQueuedAtMost += size;
    ++mCounts.mFramesSent;
  }

  // Counted up with each frame, and anew only when that comes to the bound.
  bool HasRoom(std::size_t aBytes, FramePriority aPriority)
  {
    const std::size_t most = aPriority == FramePriority::kBulk
                               ? mOptions.mMaxQueuedWithBulk
                               : mOptions.mMaxQueuedInAll;
    if (mQueuedAtMost + aBytes <= most) {
      return true;
    }
    mQueuedAtMost = 0;
    for (const ConnectionPointer& connection : mOpen) {
      mQueuedAtMost += connection->QueuedBytes();
    }
    return mQueuedAtMost + aBytes <= most;
  }

  ConnectionPointer ConnectionTo(const Address& aPeer)
  {
    const auto found = mByPeer.find(aPeer);
    if (found != mByPeer.end()) {
      return found->second;
    }
    const auto pause = mNotBefore.find(aPeer);
    if (pause != mNotBefore.end()) {
      if (std::chrono::steady_clock::now() < pause->second) {
        return nullptr;
      }
      mNotBefore.erase(pause);
    }
    auto connection = MakeConnection(asio::ip::tcp::socket(mContext),
                                     PeerRole::kClient,
                                     ConnectTimeoutFor(aPeer));
    mByPeer[aPeer] = connection;
    connection->StartConnecting(aPeer,
                                mOptions.mBind ? mOptions.mBind->mHost : "");
    return connection;
  }

  std::chrono::milliseconds ConnectTimeoutFor(const Address& aPeer) const
  {
    const auto tries = mFailedTries.find(aPeer);
    const unsigned doublings =
      tries == mFailedTries.end() ? 0 : std::min(tries->second, kMostDoublings);
    return std::min(mOptions.mConnectTimeout,
                    mOptions.mFirstConnectTimeout * (1U << doublings));
  }

  PeerTransportOptions mOptions;
  FrameHandler mOnFrame;
  asio::io_context mContext{ 1 };
  asio::ip::tcp::acceptor mAcceptor;
  asio::steady_timer mStopTimer{ mContext };
  asio::steady_timer mAcceptTimer{ mContext };
  std::set<ConnectionPointer> mOpen;
  /** What connections hold of incomplete frames. */
  limits::ConnectionBudget mReceiving;
  std::map<Address, ConnectionPointer> mByPeer;
  std::map<Address, std::chrono::steady_clock::time_point> mNotBefore;
  /** Bytes that wait for all peers, or more. */
  std::size_t mQueuedAtMost = 0;
  /** Bytes of frames that wait for the transport's thread. */
  std::atomic<std::size_t> mPosted{ 0 };
  /** Tries to connect since the last that succeeded. */
  std::map<Address, unsigned> mFailedTries;
  AtomicCounts mCounts;
  mutable std::mutex mFailedMutex;
  PeerFailures mFailures;
  std::thread mThread;
};

PeerTransport::PeerTransport(PeerTransportOptions aOptions,
                             FrameHandler aOnFrame)
  : mImpl(std::make_unique<Impl>(std::move(aOptions), std::move(aOnFrame)))
{
}

PeerTransport::~PeerTransport() = default;

bool
PeerTransport::Start(LastReason& aReason)
{
  return mImpl->Start(aReason);
}

Address
PeerTransport::LocalAddress() const
{
  return mImpl->LocalAddress();
}

void
PeerTransport::Send(const Address& aPeer,
                    std::string aFrame,
                    FramePriority aPriority)
{
  mImpl->Send(aPeer, std::move(aFrame), aPriority);
}

void
PeerTransport::Stop()
{
  mImpl->Stop();
}

std::vector<Address>
PeerTransport::Unreachable() const
{
  return mImpl->Unreachable();
}

PeerTransportCounts
PeerTransport::Counts() const
{
  return mImpl->Counts();
}

} // namespace peridotspool::wire
