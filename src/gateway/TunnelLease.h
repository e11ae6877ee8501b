#pragma once

#include "peridotspool/gateway/TunnelPeers.h"

#include <memory>
#include <utility>

namespace peridotspool::gateway {

/** Counts one tunnel at the entry that relays it, for as long as it lives. */
class TunnelLease
{
public:
  TunnelLease(const std::shared_ptr<TunnelPeers>& aPeers, Address aPeer)
    : mPeers(aPeers)
    , mPeer(std::move(aPeer))
  {
    aPeers->RecordOpened(mPeer);
  }
  ~TunnelLease()
  {
    if (const auto peers = mPeers.lock()) {
      peers->RecordClosed(mPeer);
    }
  }
  TunnelLease(const TunnelLease&) = delete;
  TunnelLease& operator=(const TunnelLease&) = delete;

  const Address& Peer() const { return mPeer; }

private:
  std::weak_ptr<TunnelPeers> mPeers;
  Address mPeer;
};

} // namespace peridotspool::gateway
