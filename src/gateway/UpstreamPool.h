#pragma once

#include "gateway/UpstreamLink.h"
#include "peridotspool/base/Time.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace peridotspool::gateway {

/** Idle connections to upstreams, kept for the next request. */
class UpstreamPool
{
public:
  /** Returns an idle connection that still stands, or null. */
  std::shared_ptr<UpstreamLink> Take(const UpstreamName& aName, TimePoint aNow);
  /** Keeps a connection if another request may be sent on it. */
  void Keep(const std::shared_ptr<UpstreamLink>& aLink, TimePoint aNow);
  /** Ends connections that the upstream is about to end. */
  void Sweep(TimePoint aNow);
  void Forget(const UpstreamName& aName);
  std::size_t Size() const;

private:
  struct Idle
  {
    std::shared_ptr<UpstreamLink> mLink;
    TimePoint mUntil;
  };

  std::unordered_map<UpstreamName, std::vector<Idle>> mIdle;
};

} // namespace peridotspool::gateway
