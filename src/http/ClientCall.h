#pragma once

#include "http/BeastTypes.h"
#include "http/ClientConnection.h"
#include "http/HeadScanner.h"
#include "http/IdleConnections.h"
#include "http/PieceBody.h"
#include "peridotspool/http/HttpClient.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>

namespace peridotspool::http {

class ClientCall;

/** What a call needs of its client; used on the client's thread. */
class ClientCallOwner
{
public:
  virtual ~ClientCallOwner() = default;

  virtual net::io_context& Io() = 0;
  virtual IdleConnections& Idle() = 0;
  virtual const HttpClientOptions& Options() const = 0;
  /** Hands an event to the user; aLast frees the call's id first. */
  virtual void Emit(const ClientCall& aFrom, CallEvent aEvent, bool aLast) = 0;
};

/**
 * One request and its response. Runs on the client's thread, but for MuteEvents
 * which may be called from any.
 */
class ClientCall : public std::enable_shared_from_this<ClientCall>
{
public:
  ClientCall(ClientCallOwner& aOwner,
             ClientCallId aId,
             Address aPeer,
             HttpRequest aRequest,
             std::chrono::milliseconds aSilenceTimeout);

  ClientCallId Id() const { return mId; }
  void Run();
  /** From now on no event of this call starts. */
  void MuteEvents() { mMuted = true; }
  /** Ends the call and resets its connection. */
  void Abort();
  void FailAsNotSent(const std::string& aReason);

private:
  void Connect();
  void OnConnected(ErrorCode aError);
  void Write();
  void OnWritten(ErrorCode aError, std::size_t aWritten);
  void ReadHeader();
  void ReadHeaderBytes();
  void ParseHeader();
  void OnHeader();
  void ReadSome();
  void OnSome(ErrorCode aError);
  void Finish();
  void Fail(ErrorCode aError);
  void Emit(CallEvent aEvent, bool aLast);

  using Parser = beast_http::response_parser<PieceBody>;

  ClientCallOwner& mOwner;
  const ClientCallId mId;
  const Address mPeer;
  const std::chrono::milliseconds mSilenceTimeout;
  /** The request's bytes; empty if it can't be sent. */
  const std::optional<std::string> mWire;
  std::atomic<bool> mMuted = false;
  bool mReusedConnection = false;
  bool mMayHaveBeenSent = false;
  /** Why the request could not be written; no error otherwise. */
  ErrorCode mWriteError;
  bool mEnded = false;
  /** Interim responses to this request so far. */
  std::size_t mInterim = 0;
  std::unique_ptr<ClientConnection> mConnection;
  HeadScanner mHeadScanner;
  std::optional<Parser> mParser;
};

} // namespace peridotspool::http
