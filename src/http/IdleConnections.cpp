#include "http/IdleConnections.h"

#include "http/Conversions.h"

namespace peridotspool::http {

IdleConnections::IdleConnections(const HttpClientOptions& aOptions)
  : mMost(aOptions.mIdleConnections)
  , mTimeout(aOptions.mIdleTimeout)
{
}

std::unique_ptr<ClientConnection>
IdleConnections::Take(const Address& aPeer)
{
  const auto found = mByPeer.find(ToText(aPeer));
  if (found == mByPeer.end()) {
    return nullptr;
  }
  auto& idle = found->second;
  std::unique_ptr<ClientConnection> taken;
  while (taken == nullptr && !idle.empty()) {
    taken = std::move(idle.back());
    idle.pop_back();
    // The peer may have closed it meanwhile; or bytes came that no request
    // asked for, and the next call would take them for its own answer.
    if (taken->mBuffer.size() != 0 ||
        !IsQuietAndOpen(taken->mStream.socket())) {
      taken = nullptr;
    }
  }
  if (idle.empty()) {
    mByPeer.erase(found);
  }
  return taken;
}

void
IdleConnections::Keep(std::unique_ptr<ClientConnection> aConnection)
{
  if (mMost == 0) {
    return;
  }
  aConnection->mIdleSince = std::chrono::steady_clock::now();
  auto& idle = mByPeer[ToText(aConnection->mPeer)];
  idle.push_back(std::move(aConnection));
  if (idle.size() > mMost) {
    idle.pop_front();
  }
}

void
IdleConnections::CloseOld()
{
  const auto oldest = std::chrono::steady_clock::now() - mTimeout;
  for (auto peer = mByPeer.begin(); peer != mByPeer.end();) {
    auto& idle = peer->second;
    while (!idle.empty() && idle.front()->mIdleSince < oldest) {
      idle.pop_front();
    }
    peer = idle.empty() ? mByPeer.erase(peer) : std::next(peer);
  }
}

} // namespace peridotspool::http
