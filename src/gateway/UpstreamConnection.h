#pragma once

#include "http/BeastTypes.h"
#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/RequestHead.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridotspool::gateway {

/** How a connection to an upstream failed a request. */
struct ConnectionFailure
{
  std::string mReason;
  /** False proves that the upstream never saw the request. */
  bool mMayHaveBeenSent = true;
  /** The connection had served an earlier request. */
  bool mReused = false;
  /** Nobody listens at the upstream's address. */
  bool mRefused = false;
};

/** What a request's connection to an upstream tells, on the relay thread. */
class UpstreamListener
{
public:
  virtual ~UpstreamListener() = default;
  /** Returns false iff the answer belongs to another request: skip it. */
  virtual bool OnHead(ResponseHead aHead) = 0;
  virtual void OnBody(std::string aBytes) = 0;
  /** The answer is whole. */
  virtual void OnEnd() = 0;
  virtual void OnConnectionFailed(const ConnectionFailure& aFailure) = 0;
};

/**
 * One connection to one upstream, for one request at a time. A listener hears
 * of it until the request has ended or the connection is dropped, and nothing
 * after that.
 */
class UpstreamConnection
  : public std::enable_shared_from_this<UpstreamConnection>
{
public:
  UpstreamConnection(http::net::io_context& aIo, UpstreamName aName);

  /** Connects, and sends a request right after. */
  void Open(const Address& aAddress,
            Duration aTimeout,
            std::string aRequest,
            UpstreamListener* aListener);
  /** Sends a further request on a connection that is idle. */
  void Send(std::string aRequest, UpstreamListener* aListener);
  /** Ends the connection without a word to the listener. */
  void Drop();
  void Pause() { mPaused = true; }
  void Resume();

  const UpstreamName& Name() const { return mName; }
  /** Returns true iff another request may be sent on it. */
  bool IsReusable() const;
  /** Returns true iff it is open and as idle as it should be. */
  bool IsStillOpen();
  /** How long the upstream keeps it open while idle; empty if it won't say. */
  std::optional<Duration> AdvertisedIdleTimeout() const
  {
    return mAdvertisedIdleTimeout;
  }

private:
  using Parser =
    http::beast_http::response_parser<http::beast_http::string_body>;

  void OnConnected(http::ErrorCode aError);
  void StartParser();
  void WriteRequest();
  void Read();
  void OnRead(http::ErrorCode aError, std::size_t aBytes);
  void OnReadEnd(http::ErrorCode aError);
  void Parse();
  bool HandleHead();
  void HandleBody();
  void FinishResponse();
  void Fail(const std::string& aReason, bool aRefused = false);
  void Close();

  http::Tcp::socket mSocket;
  http::net::steady_timer mTimer;
  UpstreamName mName;
  UpstreamListener* mListener = nullptr;
  http::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  std::string mRequest;
  bool mWriting = false;
  bool mReading = false;
  bool mPaused = false;
  bool mClosed = false;
  bool mHeadReported = false;
  bool mSkipping = false;
  bool mKeepAlive = false;
  bool mSent = false;
  std::size_t mServed = 0;
  std::size_t mSkipped = 0;
  std::optional<Duration> mAdvertisedIdleTimeout;
};

} // namespace peridotspool::gateway
