#include "gateway/UpstreamPool.h"

namespace peridotspool::gateway {

namespace {

/** Kept for this long when the upstream does not say how long it keeps it. */
constexpr Duration kUnknownKeep = std::chrono::seconds(20);
/** An upstream's own timeout is not used up to its end: a request that crosses
 * its close may have run or not. */
constexpr Duration kSafety = std::chrono::milliseconds(700);
constexpr std::size_t kMostIdle = 32;

} // namespace

std::shared_ptr<UpstreamLink>
UpstreamPool::Take(const UpstreamName& aName, TimePoint aNow)
{
  const auto found = mIdle.find(aName);
  if (found == mIdle.end()) {
    return nullptr;
  }
  // The one used last: the others run into their timeouts and end.
  auto& idle = found->second;
  while (!idle.empty()) {
    Idle one = std::move(idle.back());
    idle.pop_back();
    if (one.mUntil > aNow && one.mLink->IsSound()) {
      return one.mLink;
    }
    one.mLink->Drop();
  }
  return nullptr;
}

void
UpstreamPool::Keep(const std::shared_ptr<UpstreamLink>& aLink, TimePoint aNow)
{
  auto& idle = mIdle[aLink->Name()];
  const Duration kept =
    aLink->KeptFor() ? *aLink->KeptFor() - kSafety : kUnknownKeep;
  if (!aLink->IsReusable() || idle.size() >= kMostIdle || kept <= Duration(0)) {
    aLink->Drop();
    return;
  }
  idle.push_back({ aLink, aNow + kept });
}

void
UpstreamPool::Sweep(TimePoint aNow)
{
  for (auto& [name, idle] : mIdle) {
    std::erase_if(idle, [&](const Idle& aIdle) {
      const bool over = aIdle.mUntil <= aNow || !aIdle.mLink->IsReusable();
      if (over) {
        aIdle.mLink->Drop();
      }
      return over;
    });
  }
  std::erase_if(mIdle, [](const auto& aPair) { return aPair.second.empty(); });
}

void
UpstreamPool::Forget(const UpstreamName& aName)
{
  const auto found = mIdle.find(aName);
  if (found == mIdle.end()) {
    return;
  }
  for (const Idle& idle : found->second) {
    idle.mLink->Drop();
  }
  mIdle.erase(found);
}

std::size_t
UpstreamPool::Size() const
{
  std::size_t size = 0;
  for (const auto& [name, idle] : mIdle) {
    size += idle.size();
  }
  return size;
}

} // namespace peridotspool::gateway
