#pragma once

#include "http/ClientConnection.h"
#include "peridotspool/http/HttpClient.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace peridotspool::http {

/** Open connections without a call, by peer; bounded in number and age. */
class IdleConnections
{
public:
  explicit IdleConnections(const HttpClientOptions& aOptions);

  /** Returns a connection that is open as far as one can see, or null. */
  std::unique_ptr<ClientConnection> Take(const Address& aPeer);
  void Keep(std::unique_ptr<ClientConnection> aConnection);
  /** Closes those that were idle for too long. */
  void CloseOld();
  void CloseAll() { mByPeer.clear(); }

private:
  const std::size_t mMost;
  const std::chrono::milliseconds mTimeout;
  /** By the peer's address as text. */
  std::map<std::string, std::deque<std::unique_ptr<ClientConnection>>> mByPeer;
};

} // namespace peridotspool::http
