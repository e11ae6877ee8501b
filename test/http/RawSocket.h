#pragma once

#include "peridotspool/base/Address.h"

#include <memory>
#include <string>

namespace peridotspool::test {

/** A plain blocking TCP connection, to send and see exact bytes. */
class RawSocket
{
public:
  explicit RawSocket(int aHandle);
  ~RawSocket();
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  /** Returns a connection, or one that fails at once if none was made. */
  static std::unique_ptr<RawSocket> Connect(const Address& aPeer);

  void Send(const std::string& aBytes);
  /** Reads until aEnd is in what came, the peer closes or 10 s pass. */
  std::string ReadUntil(const std::string& aEnd);
  /** Reads until the peer closes or nothing comes for 10 s. */
  std::string ReadAll();
  /** Returns true iff the peer reset the connection within 10 s; reads all
   * that came before. */
  bool WaitForReset();
  void Close();
  /** Closes the connection by a reset. */
  void Reset();

private:
  int mHandle;
};

/** A plain listening socket on a free loopback port. */
class RawListener
{
public:
  RawListener();
  ~RawListener();
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  Address LocalAddress() const { return mAddress; }
  /** Returns the next connection; fails the test after 10 s. */
  std::unique_ptr<RawSocket> Accept();

private:
  int mHandle;
  Address mAddress;
};

} // namespace peridotspool::test
