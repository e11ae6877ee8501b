#include "gateway/UpstreamConnectionPool.h"

namespace peridotspool::gateway {

namespace {

/** Used if the upstream announces no idle time-out. */
constexpr Duration kDefaultIdleTimeout = std::chrono::seconds(20);
/** Connections expire this long before the upstream's idle time-out. If a
 * request crossed the upstream's close, it would be unknown whether it ran. */
constexpr Duration kIdleTimeoutMargin = std::chrono::milliseconds(700);
constexpr std::size_t kMaxIdleConnections = 32;

} // namespace

std::shared_ptr<UpstreamConnection>
UpstreamConnectionPool::Acquire(const UpstreamName& aName, TimePoint aNow)
{
  const auto found = mIdle.find(aName);
  if (found == mIdle.end()) {
    return nullptr;
  }
  // Uses the most recently used connection, so that the others expire.
  auto& idle = found->second;
  while (!idle.empty()) {
    Idle one = std::move(idle.back());
    idle.pop_back();
    if (one.mExpiresAt > aNow && one.mConnection->IsStillOpen()) {
      return one.mConnection;
    }
    one.mConnection->Drop();
  }
  return nullptr;
}

void
UpstreamConnectionPool::Release(
  const std::shared_ptr<UpstreamConnection>& aConnection,
  TimePoint aNow)
{
  auto& idle = mIdle[aConnection->Name()];
  const Duration kept =
    aConnection->AdvertisedIdleTimeout()
      ? *aConnection->AdvertisedIdleTimeout() - kIdleTimeoutMargin
      : kDefaultIdleTimeout;
  if (!aConnection->IsReusable() || idle.size() >= kMaxIdleConnections ||
      kept <= Duration(0)) {
    aConnection->Drop();
    return;
  }
  idle.push_back({ aConnection, aNow + kept });
}

void
UpstreamConnectionPool::Sweep(TimePoint aNow)
{
  RemoveIdle([&](const Idle& aIdle) {
    return aIdle.mExpiresAt <= aNow || !aIdle.mConnection->IsReusable();
  });
}

void
UpstreamConnectionPool::RemoveIf(
  const std::function<bool(const UpstreamConnection&)>& aIsUnusable)
{
  RemoveIdle(
    [&](const Idle& aIdle) { return aIsUnusable(*aIdle.mConnection); });
}

void
UpstreamConnectionPool::RemoveIdle(
  const std::function<bool(const Idle&)>& aIsOver)
{
  for (auto& [name, idle] : mIdle) {
    std::erase_if(idle, [&](const Idle& aIdle) {
      const bool over = aIsOver(aIdle);
      if (over) {
        aIdle.mConnection->Drop();
      }
      return over;
    });
  }
  std::erase_if(mIdle, [](const auto& aPair) { return aPair.second.empty(); });
}

void
UpstreamConnectionPool::Remove(const UpstreamName& aName)
{
  const auto found = mIdle.find(aName);
  if (found == mIdle.end()) {
    return;
  }
  for (const Idle& idle : found->second) {
    idle.mConnection->Drop();
  }
  mIdle.erase(found);
}

std::size_t
UpstreamConnectionPool::Size() const
{
  std::size_t size = 0;
  for (const auto& [name, idle] : mIdle) {
    size += idle.size();
  }
  return size;
}

} // namespace peridotspool::gateway
