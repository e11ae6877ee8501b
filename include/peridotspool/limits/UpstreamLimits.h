#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/limits/PermitMessage.h"
#include "peridotspool/limits/RateStatement.h"

#include <cstddef>
#include <unordered_map>

namespace peridotspool::limits {

/** The request whose response stated a limit, or stated none. */
struct StatedBy
{
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  TimePoint mSentAt;
  /** The upstream itself generated the response. */
  bool mIsGenuine = false;
};

/** The limit of one upstream as known to this entry. */
struct KnownLimit
{
  Incarnation mIncarnation;
  double mPerSecond = 0.0;
  /** When a response to any entry last stated it, as far as is known. */
  TimePoint mStatedAt;
};

/** How a response changed the known limit of its upstream. */
enum class LimitChange
{
  kNone,
  kSet,
  kEnded,
  /** The first unreadable limit since a readable one. */
  kInvalid,
};

/**
 * The rate limits that upstreams state in their responses, as known to one
 * entry from its own responses and from coordinators. A limit lasts until a
 * genuine response to a later request states none, and belongs to one
 * incarnation of its upstream. An unreadable limit changes nothing.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class UpstreamLimits
{
public:
  LimitChange RecordResponse(const StatedBy& aBy,
                             const RateStatement& aStatement,
                             TimePoint aNow);
  /** Applies the limit that the upstream's coordinator knows. */
  LimitChange ApplyCoordinatorState(const LimitState& aState, TimePoint aNow);
  /**
   * Ends a limit because the upstream's coordinator knows that it has ended,
   * unless it was stated after aAskedAt.
   */
  LimitChange End(const UpstreamName& aUpstream, TimePoint aAskedAt);
  /** Returns null if no limit of the upstream is known. */
  const KnownLimit* Find(const UpstreamName& aUpstream) const;
  /** Forgets an upstream that is gone or has restarted. */
  void Remove(const UpstreamName& aUpstream);

  std::size_t Count() const { return mLimits.size(); }

private:
  LimitChange RecordNoLimit(const StatedBy& aBy);
  LimitChange RecordInvalid(const StatedBy& aBy);

  std::unordered_map<UpstreamName, KnownLimit> mLimits;
  /** Upstreams whose last statement was invalid, with their incarnation. */
  std::unordered_map<UpstreamName, Incarnation> mInvalid;
};

} // namespace peridotspool::limits
