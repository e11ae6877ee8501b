#pragma once

#include "peridotspool/base/LastReason.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/routing/CacheReport.h"
#include "peridotspool/routing/RouteChoice.h"
#include "peridotspool/routing/RouteQuery.h"
#include "peridotspool/routing/RouterOptions.h"
#include "peridotspool/routing/UpstreamReport.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace peridotspool::routing {

class RouterState;

/** How an attempt at an upstream ended, as far as routing cares. */
enum class AttemptEnd
{
  kCompleted,
  kFailed,
  kTimedOut,
  kCancelled,
};

/**
 * Chooses an upstream for each request from announcements that lag.
 *
 * It knows only upstreams whose announcement's lease still holds, and never
 * chooses one that said it is leaving, whatever an older announcement says.
 * Pure: no clock, no thread; the same calls give the same choices. Not
 * thread-safe.
 */
class Router
{
public:
  explicit Router(RouterOptions aOptions);
  ~Router();

  /**
   * Takes an announcement that came directly or through another entry.
   * Returns true iff it is newer than what was known and worth spreading.
   */
  bool Announce(const UpstreamAnnouncement& aAnnouncement, TimePoint aNow);

  /** Drops upstreams whose lease ran out and lets ejected ones back in. */
  void Tick(TimePoint aNow);

  /** Returns the upstream to use, or empty with the reason in aReason. */
  std::optional<RouteChoice> Choose(const RouteQuery& aQuery,
                                    TimePoint aNow,
                                    NoRoute& aReason);

  /** Counts a request that was sent to the upstream. */
  void Sent(const UpstreamName& aUpstream,
            const RouteQuery& aQuery,
            TimePoint aNow);

  /** Counts the end of a request that was sent. */
  void Ended(const UpstreamName& aUpstream, AttemptEnd aEnd, TimePoint aNow);

  /** Takes news of an engine's cache; late and gappy ones are fine. */
  void Cached(const CacheReport& aReport);

  /**
   * Takes what the engine said of the request's prompt: how many of its tokens
   * were cached. Corrects the prefix index.
   */
  void Answered(const UpstreamName& aUpstream,
                const RouteQuery& aQuery,
                std::uint64_t aCachedTokens);

  /** Changes the weights, when the settings do. */
  void SetWeights(double aLatencyWeight, double aCostWeight);

  /** How often an upstream was ejected so far. */
  std::uint64_t Ejections() const;

  /** Returns the announcement that holds for an upstream now, if any. */
  std::optional<UpstreamAnnouncement> Find(const UpstreamName& aUpstream,
                                           TimePoint aNow) const;

  /** The announcements that hold now, for status pages. */
  std::vector<UpstreamAnnouncement> Upstreams(TimePoint aNow) const;

private:
  std::unique_ptr<RouterState> mState;
};

} // namespace peridotspool::routing
