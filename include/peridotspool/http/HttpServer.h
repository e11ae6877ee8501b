#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/LastReason.h"
#include "peridotspool/http/HttpMessage.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace peridotspool::http {

/** Names one exchange (a request and its response) of one server. */
using ExchangeId = std::uint64_t;

struct HttpServerOptions
{
  /** Port 0 takes a free one; see HttpServer::LocalAddress. */
  Address mListen;
  std::size_t mMaxBodyBytes = 1 << 20;
  std::size_t mMaxHeaderBytes = 16 << 10;
  std::size_t mMaxConnections = 4096;
  /** Bytes that all connections hold together. Those that make no progress give
   * way first. */
  std::size_t mMaxHeldBytes = 32U << 20;
  /** Bytes queued towards one slow reader before its connection is dropped. */
  std::size_t mMaxQueuedBytes = 4 << 20;
  /** A connection that sends no whole request for this long is closed. */
  std::chrono::milliseconds mIdleTimeout{ 60000 };
};

/**
 * An HTTP/1.1 server on a thread of its own (Boost.Beast inside).
 *
 * The two handlers are called on that thread and must not block; the answering
 * functions may be called from any thread, in any order of exchanges. Answers
 * to an exchange that is gone are dropped. A request over a bound is answered
 * with 413 or 431 and never reaches the handler.
 */
class HttpServer
{
public:
  using RequestHandler = std::function<void(ExchangeId, HttpRequest)>;
  /** The caller went away before its exchange was complete. */
  using GoneHandler = std::function<void(ExchangeId)>;

  HttpServer(HttpServerOptions aOptions,
             RequestHandler aOnRequest,
             GoneHandler aOnGone);
  /** Stops at once, if Stop was not called. */
  ~HttpServer();

  /** Listens and starts the thread; false with a reason if it can't. */
  bool Start(LastReason& aReason);
  /** The address in use; valid after Start. */
  Address LocalAddress() const;

  /** Sends a whole response. */
  void Respond(ExchangeId aExchange, HttpResponse aResponse);
  /** Sends the head of a chunked response; the body is ignored. */
  void BeginStream(ExchangeId aExchange, HttpResponse aHead);
  /** Sends a piece of a chunked response. */
  void SendPiece(ExchangeId aExchange, std::string aBytes);
  /** Ends a chunked response. */
  void EndStream(ExchangeId aExchange);

  /**
   * Accepts no new connections; exchanges under way go on, and connections
   * close after their next response.
   */
  void StopAccepting();
  /**
   * Closes everything and joins the thread, sending what is queued first, for
   * at most two seconds. No handler is called any more; not to be called by
   * one.
   */
  void Stop();
  /** Exchanges that are not complete yet. */
  std::size_t OpenExchanges() const;
  /** Requests refused for a bound (body, header, connections). */
  std::uint64_t RefusedForBounds() const;

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace peridotspool::http
