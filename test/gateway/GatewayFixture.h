#pragma once

#include "gateway/Gateway.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace peridotspool::gateway {

/** What a scripted upstream does with one request. */
struct Script
{
  /** Sent as it is; "{id}" stands for the request's id. */
  std::string mAnswer;
  enum class Then
  {
    kKeep,
    kClose,
    kReset,
    /** Neither answers on nor closes until the other end does. */
    kHang,
  };
  Then mThen = Then::kKeep;
};

/** Returns a whole answer with its proof. */
std::string
WholeAnswer(const std::string& aBody, unsigned aStatus = 200);

/** A small upstream on the loopback address, a thread for each connection. */
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
  /** From now on nobody listens at its address. */
  void StopListening() { ::shutdown(mAcceptor.native_handle(), SHUT_RDWR); }
  /** Requests that came, whole, as they were sent. */
  std::vector<std::string> Requests() const;
  std::size_t Connections() const { return mConnections; }
  /** Connections that the other end closed while a request hung. */
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

/** One caller's connection, with blocking calls. */
class Caller
{
public:
  explicit Caller(const Address& aWhere);

  void Send(const std::string& aBytes);
  /** Reads until aEnd has come, the connection ends, or two seconds pass. */
  std::string ReadTo(const std::string& aEnd);
  /** Reads one whole answer by its length or its last chunk. */
  std::string ReadAnswer();
  /** True iff the other end has closed; waits for it up to two seconds. */
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
  GatewayFixture();
  ~GatewayFixture();

  /** Makes an upstream of the service known. */
  void Add(const std::string& aName, const Address& aWhere);
  /** Runs a function on the relay thread and waits for it. */
  void OnRelay(const std::function<void()>& aCall);
  Address Where() const { return mWhere; }
  GatewayCore& Core() { return *mCore; }
  bool IsQuiet();
  std::size_t Exchanges();
  /** What was told to the control leader. */
  std::vector<SharedMessage> SentToLeader()
  {
    std::vector<SharedMessage> told;
    OnRelay([&] { told = mSentToLeader; });
    return told;
  }

private:
  observe::Counters mCounters;
  http::net::io_context mIo{ 1 };
  std::unique_ptr<observe::Logger> mLogger;
  std::vector<SharedMessage> mSentToLeader;
  std::unique_ptr<GatewayCore> mCore;
  std::unique_ptr<Gateway> mGateway;
  Address mWhere;
  std::thread mRelay;
};

/** Returns a request on the route of a kind: "safe", "once", "stream" or
 * "prompt". */
std::string
RequestText(const std::string& aKind,
            const std::string& aId,
            const std::string& aBody = {});

/** The status line of an answer, up to the status. */
std::string
StatusOf(const std::string& aAnswer);

/** Waits up to two seconds for a condition of another thread. */
bool
Eventually(const std::function<bool()>& aCondition);

} // namespace peridotspool::gateway
