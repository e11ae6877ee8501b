#pragma once

#include "gateway/UpstreamConnection.h"
#include "peridotspool/base/Time.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace peridotspool::gateway {

/** Idle connections to upstreams, kept for the next request. */
class UpstreamConnectionPool
{
public:
  /** Returns an idle connection that still stands, or null. */
  std::shared_ptr<UpstreamConnection> Acquire(const UpstreamName& aName,
                                              TimePoint aNow);
  /** Keeps a connection if another request may be sent on it. */
  void Release(const std::shared_ptr<UpstreamConnection>& aConnection,
               TimePoint aNow);
  /** Ends connections that the upstream is about to end. */
  void Sweep(TimePoint aNow);
  void Remove(const UpstreamName& aName);
  std::size_t Size() const;

private:
  struct Idle
  {
    std::shared_ptr<UpstreamConnection> mConnection;
    TimePoint mExpiresAt;
  };

  std::unordered_map<UpstreamName, std::vector<Idle>> mIdle;
};

} // namespace peridotspool::gateway
