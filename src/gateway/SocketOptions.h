#pragma once

#include "http/BeastTypes.h"
#include "peridotspool/base/Address.h"

#include <functional>
#include <string>

namespace peridotspool::gateway {

/**
 * Disables Nagle's algorithm, so that small writes are sent at once, and sets
 * TCP_USER_TIMEOUT, so that a connection to an unresponsive peer is closed.
 * Without the latter, data sent on it would wait for minutes.
 */
void
SetSocketOptions(http::Tcp::socket& aSocket);

/**
 * Sends keep-alive probes while the connection is idle, so that one whose peer
 * is gone is closed before it is used again. TCP_USER_TIMEOUT, set as above,
 * decides when the probes have failed, whatever their number.
 */
void
SetKeepAlive(http::Tcp::socket& aSocket);

/**
 * Connects a socket that isn't open yet. Calls back on the socket's executor,
 * also if an address can't be used.
 *
 * @param aSourceHost address to connect from; empty for any
 */
void
StartConnect(http::Tcp::socket& aSocket,
             const Address& aTo,
             const std::string& aSourceHost,
             std::function<void(http::ErrorCode)> aOnDone);

/** Opens, binds and listens. */
http::ErrorCode
ListenAt(http::Tcp::acceptor& aAcceptor, const http::Tcp::endpoint& aEndpoint);

/** Returns true iff the peer has closed the connection or data can be read. */
bool
HasEofOrData(http::Tcp::socket& aSocket);

} // namespace peridotspool::gateway
