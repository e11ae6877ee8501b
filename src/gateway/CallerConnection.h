#pragma once

#include "http/BeastTypes.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/CallerLimits.h"
#include "peridotspool/gateway/RequestHead.h"

#include <memory>
#include <optional>
#include <string>

namespace peridotspool::gateway {

class CallerConnection;

/** What a caller's connection tells its owner, on the relay thread. */
class CallerConnectionOwner
{
public:
  virtual ~CallerConnectionOwner() = default;
  virtual void OnRequest(const std::shared_ptr<CallerConnection>& aConnection,
                         CallerRequest aRequest) = 0;
  /** The caller left while its request was being served. */
  virtual void OnDisconnected(CallerConnection& aConnection) = 0;
  virtual void OnClosed(CallerConnection& aConnection) = 0;
  /** A request that was refused before it was whole; for the log. */
  virtual void OnMalformed(unsigned aStatus, const std::string& aReason) = 0;
  virtual CallerLimits Limits() const = 0;
  virtual TimePoint Now() const = 0;
};

/**
 * One connection from a caller: reads one request after the other, whole, and
 * writes their answers. Strict about framing: what could be read in two ways
 * is refused, and the connection ends.
 */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(http::Tcp::socket aSocket, CallerConnectionOwner& aOwner);

  void Run();
  /** Sends a whole answer. */
  void SendResponse(std::string_view aBytes, bool aKeepAlive);
  /** Sends the head of a chunked answer. */
  void BeginChunked(std::string_view aHead);
  void SendChunk(std::string_view aBytes);
  /** Ends a chunked answer. */
  void FinishChunked(bool aKeepAlive);
  /** Ends the connection; an answer under way shows that it is not whole. */
  void Abort();

  /** Returns true iff no request is read or served. */
  bool IsIdle() const;
  std::size_t QueuedBytes() const { return mPending.size() + mWriting.size(); }
  /** Ends a connection that was idle, or slow to send, for too long. */
  void Sweep(TimePoint aNow);

private:
  using Parser =
    http::beast_http::request_parser<http::beast_http::string_body>;

  void Read();
  void OnRead(http::ErrorCode aError, std::size_t aBytes);
  void Parse();
  void OnParsed();
  std::string FramingFault() const;
  void Refuse(unsigned aStatus, const std::string& aReason);
  void RefuseFor(http::ErrorCode aError);
  void Write(std::string_view aBytes);
  void Flush();
  void OnWritten(http::ErrorCode aError);
  void FinishResponse(bool aKeepAlive);
  void Close();

  http::Tcp::socket mSocket;
  CallerConnectionOwner& mOwner;
  http::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  bool mReading = false;
  bool mServing = false;
  bool mHeadChecked = false;
  bool mClosed = false;
  bool mClosing = false;
  /** The first byte of the present request; idle since, without one. */
  TimePoint mRequestOrIdleSince;
  std::string mPending;
  std::string mWriting;
};

} // namespace peridotspool::gateway
