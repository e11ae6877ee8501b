#pragma once

#include "gateway/OutgoingRequest.h"
#include "gateway/UpstreamDialer.h"
#include "http/HeadScanner.h"
#include "http/PieceBody.h"
#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/RequestHead.h"
#include "peridotspool/gateway/TunnelRecord.h"
#include "peridotspool/limits/ResponseGuard.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridotspool::gateway {

/** Why a connection to an upstream failed during a request. */
struct ConnectionFailure
{
  std::string mReason;
  /** If false, the upstream has certainly not received the request. */
  bool mMayHaveBeenSent = true;
  /** The connection had served an earlier request. */
  bool mReused = false;
  /** The upstream's address refused the connection. */
  bool mRefused = false;
  /** The fault is in this entry's path, as far as is known. */
  bool mPathLost = false;
  /** The listener didn't want the request to be sent. */
  bool mCancelled = false;
};

/** Receives the events of a request's upstream connection, on the relay
 * thread. */
class UpstreamListener
{
public:
  virtual ~UpstreamListener() = default;
  /** A new connection is established. Returns false iff the request is not to
   * be sent on it any more. */
  virtual bool OnConnected() = 0;
  /** Returns false iff the response belongs to another request and is to be
   * skipped. */
  virtual bool OnHead(ResponseHead aHead) = 0;
  virtual void OnBody(std::string aBytes) = 0;
  /** The response is complete. */
  virtual void OnEnd() = 0;
  virtual void OnConnectionFailed(const ConnectionFailure& aFailure) = 0;
  /** Returns the bounds of the response to the current request. */
  virtual limits::ResponseGuard& Guard() = 0;
  /** @param aBytes received that the connection has not passed on */
  virtual void OnHeld(std::size_t aBytes) = 0;
  /** The response broke a bound, and the connection is closed. */
  virtual void OnBoundBroken(const limits::BrokenBound& aBroken) = 0;
};

/**
 * One connection to one upstream, for one request at a time. Its listener is
 * called until the request has ended or the connection is dropped, and not
 * after that.
 */
class UpstreamConnection
  : public std::enable_shared_from_this<UpstreamConnection>
{
public:
  /** @param aDialer outlives the connection's use */
  UpstreamConnection(UpstreamDialer& aDialer, UpstreamName aName);

  /** Connects and then sends a request. */
  void Open(const DialTarget& aTarget,
            Duration aTimeout,
            OutgoingRequest aRequest,
            UpstreamListener* aListener);
  /** Sends another request on an idle connection. */
  void Send(OutgoingRequest aRequest, UpstreamListener* aListener);
  /** Closes the connection without calling the listener. */
  void Drop();
  /** Fails the request because the path of this connection is lost. */
  void FailForLostPath();
  /** Stops reading until Resume is called. */
  void Pause() { mPaused = true; }
  void Resume();

  const UpstreamName& Name() const { return mName; }
  /** Returns true iff the connection can carry another request, judged by what
   * has been read from it. A relaying entry may have asked to send none. */
  bool IsReusable() const;
  /** Returns true iff it is reusable and the peer has neither closed it nor
   * sent unexpected data. */
  bool IsStillOpen();
  /** Returns the entry that relays the connection; null if none does. */
  const Address* RelayingPeer() const
  {
    return mTunnel ? &mTunnel->Peer() : nullptr;
  }
  /** When the connection was established, or last received bytes; empty before
   * it is established. */
  std::optional<TimePoint> ActiveAt() const { return mActiveAt; }
  /** Returns true iff another entry relays the connection and has not shown
   * lately that it is alive. */
  bool IsRelaySilent(TimePoint aNow);
  /** The idle time-out that the upstream announced in Keep-Alive; empty if it
   * announced none. */
  std::optional<Duration> AdvertisedIdleTimeout() const
  {
    return mAdvertisedIdleTimeout;
  }

private:
  using Parser = http::beast_http::response_parser<http::PieceBody>;

  void OnDialed(DialResult aResult);
  void StartParser();
  void WriteRequest();
  void Read();
  void OnRead(http::ErrorCode aError, std::size_t aBytes);
  /** Returns false iff the connection has been closed. */
  bool ReadRecords(std::size_t aBytes);
  void OnReadEnd(http::ErrorCode aError);
  void OnWriteError(http::ErrorCode aError);
  void OnRelayLost();
  void Parse();
  bool ParseHead();
  bool ParseBody();
  /** Returns false iff the connection has been closed.
   * @param aBytes of the head */
  bool HandleHead(std::size_t aBytes);
  /** Returns true iff no bound is broken; closes the connection otherwise. */
  bool IsWithin(const std::optional<limits::BrokenBound>& aBroken);
  /** Returns false. */
  bool RejectAsNotHttp();
  void FinishResponse();
  void Fail(const std::string& aReason,
            const DialFailure& aFailure = {},
            bool aCancelled = false);
  void Close();

  UpstreamDialer& mDialer;
  const routing::UpstreamPathMonitor::ConnectionId mId;
  http::Tcp::socket mSocket;
  std::shared_ptr<PendingDial> mDial;
  std::shared_ptr<TunnelLease> mTunnel;
  /** What has come through the tunnel; used iff there is one. */
  TunnelRecordReader mRecords;
  std::string mRecordBytes;
  std::optional<TimePoint> mActiveAt;
  UpstreamName mName;
  UpstreamListener* mListener = nullptr;
  http::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  http::HeadScanner mHeadScanner;
  OutgoingRequest mRequest;
  bool mWriting = false;
  /** Why the request could not be written; no error otherwise. */
  http::ErrorCode mWriteError;
  bool mReading = false;
  bool mPaused = false;
  bool mClosed = false;
  bool mHeadReported = false;
  bool mSkipping = false;
  bool mKeepAlive = false;
  bool mSent = false;
  std::size_t mServedRequests = 0;
  std::optional<Duration> mAdvertisedIdleTimeout;
};

} // namespace peridotspool::gateway
