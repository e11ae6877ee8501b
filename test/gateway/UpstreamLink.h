#pragma once

#include "http/BeastTypes.h"
#include "peridotspool/base/Address.h"

#include <list>
#include <memory>
#include <thread>
#include <vector>

namespace peridotspool::gateway {

/** What a link does with connections. */
enum class LinkState
{
  kPass,
  /** Open connections carry nothing; new ones are not established. */
  kHang,
  /** Open connections are reset; new ones are refused. */
  kReset,
  /** Open connections go on; new ones are refused. */
  kRefuseNew,
};

/**
 * The network path of one entry to one upstream, on the loopback address. Bytes
 * that are held up pass once the link passes again.
 */
class UpstreamLink
{
public:
  explicit UpstreamLink(const Address& aUpstream);
  ~UpstreamLink();
  UpstreamLink(const UpstreamLink&) = delete;
  UpstreamLink& operator=(const UpstreamLink&) = delete;

  /** Where the entry reaches the upstream. */
  Address Where() const { return mWhere; }
  void Set(LinkState aState);
  /** Returns the connections that were established so far. */
  std::size_t Connections();

private:
  struct Pair;

  void Listen();
  void Accept();
  void Connect(http::Tcp::socket aSocket);
  void Pump(const std::shared_ptr<Pair>& aPair, std::size_t aWay);
  void FillBacklog();
  void ResetAll();

  const http::Tcp::endpoint mUpstream;
  http::net::io_context mIo{ 1 };
  /** Keeps the port from other processes while the link refuses connections. */
  http::Tcp::acceptor mReservation{ mIo };
  http::Tcp::acceptor mAcceptor{ mIo };
  Address mWhere;
  LinkState mState = LinkState::kPass;
  std::list<std::weak_ptr<Pair>> mPairs;
  /** Connections that keep the backlog full while the link hangs. */
  std::vector<http::Tcp::socket> mFillers;
  std::size_t mConnections = 0;
  std::thread mThread;
};

} // namespace peridotspool::gateway
