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

/** How an attempt at an upstream ended. */
enum class AttemptEnd
{
  kCompleted,
  kFailed,
  kTimedOut,
  kCancelled,
  /** The upstream turned the request away and asked for rest. */
  kTurnedAway,
};

/**
 * Chooses an upstream for each request, based on announcements that are out of
 * date.
 *
 * It uses only upstreams whose announcement's lease is valid. It never chooses
 * one that has announced that it leaves, even if an older announcement arrives
 * later.
 *
 * Does no I/O, reads no clock and is deterministic. Not thread-safe.
 */
class Router
{
public:
  explicit Router(RouterOptions aOptions);
  ~Router();

  /**
   * Applies an announcement, received from the upstream or forwarded by another
   * entry. Returns true iff it is newer than the known one and has to be
   * forwarded.
   */
  bool Announce(const UpstreamAnnouncement& aAnnouncement, TimePoint aNow);

  /** Removes upstreams whose lease has expired and readmits ejected ones. */
  void Tick(TimePoint aNow);

  /** Returns the upstream to use; if there is none, sets aReason. */
  std::optional<RouteChoice> Choose(const RouteQuery& aQuery,
                                    TimePoint aNow,
                                    NoRoute& aReason);

  /** Records that a request was sent to the upstream. */
  void Sent(const UpstreamName& aUpstream,
            const RouteQuery& aQuery,
            TimePoint aNow);

  /** Records that a request that was sent has ended. */
  void Ended(const UpstreamName& aUpstream, AttemptEnd aEnd, TimePoint aNow);

  /**
   * Records that an incarnation of an upstream wants no requests from this
   * entry for a time. It isn't chosen before the end, which is no ejection.
   */
  void RecordRest(const UpstreamName& aUpstream,
                  Incarnation aIncarnation,
                  Duration aRest,
                  TimePoint aNow);

  /** Returns when the first rest ends if all upstreams of the service that may
   * be chosen rest; empty otherwise. */
  std::optional<TimePoint> AllRestUntil(const RouteQuery& aQuery,
                                        TimePoint aNow) const;

  /**
   * Applies changes of an engine's prefix cache; reports may be late or
   * missing.
   */
  void Cached(const CacheReport& aReport);

  /**
   * Applies the number of the prompt's tokens that the engine found in its
   * cache, and corrects the prefix index.
   */
  void Answered(const UpstreamName& aUpstream,
                const RouteQuery& aQuery,
                std::uint64_t aCachedTokens);

  void SetWeights(double aLatencyWeight, double aCostWeight);

  /** Number of ejections so far. */
  std::uint64_t Ejections() const;

  /** Returns the upstream's announcement if its lease is valid. */
  std::optional<UpstreamAnnouncement> Find(const UpstreamName& aUpstream,
                                           TimePoint aNow) const;

  /** Returns the announcements with a valid lease, for status pages. */
  std::vector<UpstreamAnnouncement> Upstreams(TimePoint aNow) const;

private:
  std::unique_ptr<RouterState> mState;
};

} // namespace peridotspool::routing
