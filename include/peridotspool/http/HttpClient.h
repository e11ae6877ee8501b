#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/http/HttpMessage.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace peridotspool::http {

/** Names one call of one client; chosen by whoever starts it. */
using ClientCallId = std::uint64_t;

/** The response's status and fields arrived. */
struct CallHead
{
  std::uint32_t mStatus = 0;
  HeaderFields mHeaders;
};

/** A piece of the response's body arrived. */
struct CallPiece
{
  std::string mBytes;
};

/** The response is complete. */
struct CallDone
{};

/** The call ended without a complete response. */
struct CallFailed
{
  std::string mReason;
  /**
   * True iff any byte of the request may have reached the peer. False proves
   * that the request did not run.
   */
  bool mMayHaveBeenSent = true;
  /** True iff it ended because nothing came for too long. */
  bool mTimedOut = false;
};

using CallEvent = std::variant<CallHead, CallPiece, CallDone, CallFailed>;

struct HttpClientOptions
{
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  /** Nothing received on a call for this long ends it (progress deadline). */
  std::chrono::milliseconds mSilenceTimeout{ 5000 };
  std::size_t mMaxHeaderBytes = 16 << 10;
  /** Most bytes of one response's body; more ends the call as failed. */
  std::size_t mMaxBodyBytes = 16 << 20;
  /** Idle connections kept for each address. */
  std::size_t mIdleConnections = 8;
  /** An idle connection is closed after this long. */
  std::chrono::milliseconds mIdleTimeout{ 20000 };
  /** Calls under way; more fail at once as not sent. */
  std::size_t mMaxCalls = 16384;
};

/**
 * An HTTP/1.1 client on a thread of its own (Boost.Beast inside).
 *
 * The handler is called on that thread and must not block; the functions may be
 * called from any thread, the handler included. Each call gets its
 * events in order: at most one CallHead, pieces, then exactly one CallDone or
 * CallFailed; after Cancel none. A failed or cancelled call resets its
 * connection, so that what has not reached the peer by then doesn't reach it
 * later. A kept connection that turns out to be closed
 * before any byte of a new request was written is replaced by a new one.
 */
class HttpClient
{
public:
  using Handler = std::function<void(ClientCallId, CallEvent)>;

  HttpClient(HttpClientOptions aOptions, Handler aHandler);
  ~HttpClient();

  /** Starts a call; the headers host and content-length are added. */
  void Start(ClientCallId aCall, const Address& aPeer, HttpRequest aRequest);
  /** As above with its own silence timeout. */
  void Start(ClientCallId aCall,
             const Address& aPeer,
             HttpRequest aRequest,
             std::chrono::milliseconds aSilenceTimeout);
  /**
   * Ends a call by resetting its connection. No event of the call starts after
   * this returns; one that is being handled meanwhile is not waited for.
   */
  void Cancel(ClientCallId aCall);
  /**
   * Ends all calls, without events, and joins the thread; not to be called on
   * it. Calls started afterwards are dropped.
   */
  void Stop();

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace peridotspool::http
