#pragma once

#include "gateway/Gateway.h"
#include "gateway/TunnelServer.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace peridotspool::gateway {

/** How a scripted upstream responds to one request. */
struct Script
{
  /** Sent unchanged, except that "{id}" is replaced by the request's id. */
  std::string mAnswer;
  enum class Then
  {
    kKeep,
    kClose,
    kReset,
    /** Sends nothing more and waits for the peer to close. */
    kHang,
    /** Sends mPiece again and again until the peer closes. */
    kRepeat,
  };
  Then mThen = Then::kKeep;
  std::string mPiece = {};
  /** Time between two pieces. */
  std::chrono::milliseconds mPeriod{ 0 };
};

/** Returns a complete and stamped response. */
std::string
WholeAnswer(const std::string& aBody, unsigned aStatus = 200);

/** An upstream on the loopback address with one thread per connection. */
class ScriptedUpstream
{
public:
  using Handler = std::function<Script(const std::string& aRequest)>;

  explicit ScriptedUpstream(Handler aHandler);
  ~ScriptedUpstream();

  Address Where() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }
  /** Makes its address refuse connections from now on. */
  void StopListening() { ::shutdown(mAcceptor.native_handle(), SHUT_RDWR); }
  /** Returns the complete requests received, unmodified. */
  std::vector<std::string> Requests() const;
  std::size_t Connections() const { return mConnections; }
  /** Returns the number of connections that the peer closed during kHang
   * or kRepeat. */
  std::size_t ClosedWhileHanging() const { return mClosedWhileHanging; }

private:
  void Accept();
  void Serve(http::Tcp::socket& aSocket);

  Handler mHandler;
  http::net::io_context mIo;
  http::Tcp::acceptor mAcceptor;
  mutable std::mutex mMutex;
  std::vector<std::string> mRequests;
  std::vector<std::shared_ptr<http::Tcp::socket>> mSockets;
  std::vector<std::thread> mThreads;
  std::atomic<std::size_t> mConnections{ 0 };
  std::atomic<std::size_t> mClosedWhileHanging{ 0 };
  std::atomic<bool> mStopping{ false };
  std::thread mAccepting;
};

/** A caller's connection with blocking calls. */
class Caller
{
public:
  explicit Caller(const Address& aWhere);

  void Send(const std::string& aBytes);
  /** Reads until aEnd is received, the connection is closed, or a read times
   * out after two seconds. */
  std::string ReadTo(const std::string& aEnd);
  /** Reads one response up to its length or its last chunk. */
  std::string ReadAnswer();
  /** Reads until the connection is closed or a read times out after two
   * seconds.
   * @param aIsReset set to whether it was closed by a reset; may be null */
  std::string ReadAll(bool* aIsReset = nullptr);
  /** Returns true iff bytes can be read, without waiting. */
  bool HasData();
  /** Waits up to two seconds; returns true iff the peer has closed. */
  bool IsClosed();
  void Close();

private:
  bool ReadSome();

  http::net::io_context mIo;
  http::Tcp::socket mSocket;
  std::string mBuffer;
};

/** A gateway on the loopback address with routes for each kind of request. */
class GatewayFixture
{
public:
  explicit GatewayFixture(const limits::ConnectionBounds& aBounds = {});
  ~GatewayFixture();

  /** Registers an upstream of the service. */
  void Add(const std::string& aName,
           const Address& aWhere,
           const std::string& aVersion = {});
  /** Runs a function on the relay thread and waits for it. */
  void OnRelay(const std::function<void()>& aCall);
  Address Where() const { return mWhere; }
  /** Where other entries reach this one, as far as tunnels are concerned. */
  Address PeerAddress() const;
  /** Does what a host does every 50 ms about the path to upstreams. */
  void TickUpstreamPath();
  /** Closes all tunnels that the entry relays; on the relay thread. */
  void CloseTunnels() { mTunnelServer->Sweep(TimePoint::max()); }
  /** What a host does as its process stops. */
  void RefuseUnsent()
  {
    OnRelay([this] { mGateway->RefuseUnsent(); });
  }
  void AnswerUnfinished()
  {
    OnRelay([this] { mGateway->AnswerUnfinished(); });
  }
  GatewayCore& Core() { return *mCore; }
  bool IsQuiet();
  std::size_t Exchanges();
  /** Returns the messages sent to the control leader. */
  std::vector<PeerMessage> SentToLeader()
  {
    std::vector<PeerMessage> told;
    OnRelay([&] { told = mSentToLeader; });
    return told;
  }

private:
  observe::Counters mCounters;
  http::net::io_context mIo{ 1 };
  std::unique_ptr<observe::Logger> mLogger;
  std::vector<PeerMessage> mSentToLeader;
  std::unique_ptr<GatewayCore> mCore;
  std::unique_ptr<Gateway> mGateway;
  std::unique_ptr<TunnelServer> mTunnelServer;
  Address mWhere;
  std::thread mRelay;
};

/** Returns a request on the route of a kind: "safe", "once", "stream", "prompt"
 * or "draft". */
std::string
RequestText(const std::string& aKind,
            const std::string& aId,
            const std::string& aBody = {});

/** Returns the status line of a response up to the status. */
std::string
StatusOf(const std::string& aAnswer);

/** Polls for up to two seconds; returns true iff the condition became true. */
bool
Eventually(const std::function<bool()>& aCondition);

} // namespace peridotspool::gateway
