#pragma once

#include "gateway/UpstreamConnection.h"
#include "peridotspool/base/Time.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace peridotspool::gateway {

/** Idle connections to upstreams for reuse by later requests. */
class UpstreamConnectionPool
{
public:
  /** Removes and returns an open idle connection; null if there is none. */
  std::shared_ptr<UpstreamConnection> Acquire(const UpstreamName& aName,
                                              TimePoint aNow);
  /** Adds a connection if it can be reused; otherwise closes it. */
  void Release(const std::shared_ptr<UpstreamConnection>& aConnection,
               TimePoint aNow);
  /** Closes connections that the upstream is about to close. */
  void Sweep(TimePoint aNow);
  /** Closes and removes all idle connections to an upstream. */
  void Remove(const UpstreamName& aName);
  /** Closes and removes the idle connections for which aIsUnusable is true. */
  void RemoveIf(
    const std::function<bool(const UpstreamConnection&)>& aIsUnusable);
  std::size_t Size() const;

private:
  struct Idle
  {
    std::shared_ptr<UpstreamConnection> mConnection;
    TimePoint mExpiresAt;
  };

  void RemoveIdle(const std::function<bool(const Idle&)>& aIsOver);

  std::unordered_map<UpstreamName, std::vector<Idle>> mIdle;
};

} // namespace peridotspool::gateway
