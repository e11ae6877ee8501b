#pragma once

#include "http/BeastTypes.h"
#include "http/GrowingBody.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/CallerLimits.h"
#include "peridotspool/gateway/RequestHead.h"
#include "peridotspool/limits/ConnectionBudget.h"
#include "peridotspool/limits/FramingGuard.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace peridotspool::gateway {

class CallerConnection;

/** Receives the events of callers' connections, on the relay thread. */
class CallerConnectionOwner
{
public:
  virtual ~CallerConnectionOwner() = default;
  virtual void OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                         CallerRequest aRequest) = 0;
  /** The caller disconnected while its request was being served. */
  virtual void OnDisconnected(CallerConnection& aConnection) = 0;
  virtual void OnClosed(CallerConnection& aConnection) = 0;
  /** A request was refused before it was complete; for logs and counters. */
  virtual void OnRefused(unsigned aStatus, const std::string& aReason) = 0;
  /** What the connection holds, or its phase, has changed. */
  virtual void OnHeld(const CallerConnection& aConnection) = 0;
  /** Ends connections until the others are within the bounds; the one that
   * calls may be among them. */
  virtual void EnforceBounds() = 0;
  virtual CallerLimits Limits() const = 0;
  /** Returns true iff the limits were lately known to be the newest. */
  virtual bool AreSettingsFresh() const = 0;
  virtual TimePoint Now() const = 0;
};

/**
 * One connection from a caller. Reads complete requests one after another and
 * writes their responses. Rejects ambiguous framing and then closes the
 * connection.
 */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(http::Tcp::socket aSocket,
                   CallerConnectionOwner& aOwner,
                   limits::ConnectionId aId);

  void Run();
  /** Sends a complete response. */
  void SendResponse(std::string aBytes, bool aKeepAlive);
  /** Sends the head of a response of unknown length.
   * @param aFraming kChunked, or kConnection for a caller of HTTP/1.0 */
  void BeginStream(std::string_view aHead, BodyFraming aFraming);
  void SendPart(std::string_view aBytes);
  /** Ends a response of unknown length as complete. */
  void FinishStream(bool aKeepAlive);
  /** Closes the connection after the bytes that are queued. The missing end of
   * a response in progress shows the caller that it is incomplete. */
  void Abort();

  /** Returns true iff no request is being read or served. */
  bool IsIdle() const;
  std::size_t QueuedBytes() const
  {
    return mPending.size() + mWriting.size() - mWritten;
  }
  /** Closes the connection if one of its time-outs has passed. */
  void Sweep(TimePoint aNow);
  /** Refuses the request that is incomplete, or else closes the connection, so
   * that it holds nothing. */
  void GiveWay();
  /** Closes the connection at once, so that no response in progress looks
   * complete. */
  void Disconnect();

  limits::ConnectionId Id() const { return mId; }
  limits::ConnectionState State() const;

private:
  using Parser = http::beast_http::request_parser<http::GrowingBody>;

  limits::ConnectionPhase Phase() const;
  void ReportHeld();
  bool MayRead() const;
  void Read();
  void OnRead(http::ErrorCode aError, std::size_t aBytes);
  void CountUnread(std::size_t aRead);
  void DropRead();
  /** Parses unless a response comes first. */
  void ParseNext();
  void ContinueReading();

  // CallerConnectionParse.cpp
  void StartParser();
  void Parse();
  /** Returns false iff the request has been refused.
   * @param aBytes parsed, with the body that grew by aBodyBytes */
  bool CheckParsed(std::size_t aBytes, std::size_t aBodyBytes);
  void CheckIncomplete();
  bool TakeHead();
  void OnParsed();
  /** Returns false iff the request has given way. */
  bool MakeRoomToServe();
  std::string FramingFault() const;
  void RefuseFor(http::ErrorCode aError);
  void RefuseForBound(unsigned aStatus, const std::string& aReason);

  void Refuse(unsigned aStatus,
              const std::string& aReason,
              double aRetryAfter = 0.0);

  // CallerConnectionWrite.cpp
  void Write(std::string_view aBytes);
  void Flush();
  void WriteSome();
  void OnWritten(http::ErrorCode aError, std::size_t aBytes);
  void ReleaseWritten();
  void FinishResponse(bool aKeepAlive);
  void EndAfterWrite();

  void OnLost();
  void Close();

  http::Tcp::socket mSocket;
  CallerConnectionOwner& mOwner;
  const limits::ConnectionId mId;
  http::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  limits::FramingGuard mFraming{ 0 };
  /** Complete but for its body once the head has been checked. */
  CallerRequest mRequest;
  bool mReading = false;
  std::size_t mReadBytes = 0;
  /** Bytes that a read has left in the kernel. */
  std::size_t mUnreadBytes = 0;
  /** Bytes of the request that is received or served, but for a body that is
   * still being parsed. */
  std::size_t mRequestBytes = 0;
  std::uint64_t mTransferred = 0;
  bool mServing = false;
  bool mHeadChecked = false;
  bool mClosed = false;
  bool mClosing = false;
  /** The last request was refused while it came; the rest of it is dropped. */
  bool mRefused = false;
  BodyFraming mStreamFraming = BodyFraming::kChunked;
  /** Set while the end of the connection must not look like the end of a
   * response. */
  bool mResetsOnClose = false;
  bool mStreamIsWhole = false;
  /** When the first byte of the current request came, or, without a request,
   * when the connection became idle. */
  TimePoint mRequestOrIdleSince;
  std::string mPending;
  std::string mWriting;
  /** Bytes of mWriting that have been written. */
  std::size_t mWritten = 0;
  TimePoint mWriteProgressAt;
};

} // namespace peridotspool::gateway
