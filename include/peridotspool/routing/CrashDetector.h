#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/ContentId.h"
#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <compare>
#include <map>
#include <optional>
#include <vector>

namespace peridotspool::routing {

/** One incarnation of an upstream's process. */
struct UpstreamIncarnation
{
  UpstreamName mName;
  Incarnation mIncarnation;

  auto operator<=>(const UpstreamIncarnation&) const = default;
};

/** A request that was being run when its answer was lost. */
struct LostResponse
{
  ContentId mContent;
  TimePoint mSentAt;
  TimePoint mLostAt;
  /** It had the turn of a content that runs once at a time. */
  bool mHadPermit = false;

  auto operator<=>(const LostResponse&) const = default;
};

enum class CrashEvidence
{
  /** Nobody listens at its address. */
  kConnectionRefused,
  /** Another incarnation has announced itself at its address. */
  kNewIncarnation,
};

/** A incarnation that crashes without a word while it ran requests of this
 * entry. */
struct UpstreamCrash
{
  UpstreamIncarnation mUpstream;
  CrashEvidence mCrashEvidence = CrashEvidence::kConnectionRefused;
  std::vector<LostResponse> mLost;

  auto operator<=>(const UpstreamCrash&) const = default;
};

/**
 * Tells the end of an upstream's incarnation from the end of a connection to
 * it. A lost answer alone shows neither: an upstream that goes on may have
 * reset the connection, or something between may have cut it.
 *
 * Only lives that had not announced their leave are to be told of here. A pure
 * step; not thread-safe.
 */
class CrashDetector
{
public:
  /**
   * An answer was lost. Returns the incarnation's end where that is known
   * already; otherwise ShouldProbe says whether its address is to be tried.
   */
  std::optional<UpstreamCrash> Lost(const UpstreamIncarnation& aIncarnation,
                                    const Address& aAddress,
                                    const LostResponse& aLost);
  /** Returns true iff a connection is to be tried; once for each pending. */
  bool ShouldProbe(const UpstreamIncarnation& aIncarnation);

  /** A connection to the incarnation's address was refused. */
  std::optional<UpstreamCrash> Refused(const UpstreamIncarnation& aIncarnation,
                                       TimePoint aNow);
  /** A connection that was tried for this stands: the incarnation goes on. */
  void Accepted(const UpstreamIncarnation& aIncarnation);
  /** A incarnation announces itself; whoever was at its address before is
   * replaced. */
  std::vector<UpstreamCrash> Announced(const UpstreamIncarnation& aIncarnation,
                                       const Address& aAddress,
                                       TimePoint aNow);
  /** Forgets what is long replaced. */
  void Forget(TimePoint aNow);

private:
  struct PendingProbe
  {
    Address mAddress;
    std::vector<LostResponse> mLost;
    bool mProbed = false;
  };

  std::optional<UpstreamCrash> RecordCrash(
    const UpstreamIncarnation& aIncarnation,
    CrashEvidence aCrashEvidence,
    TimePoint aNow);

  std::map<UpstreamIncarnation, PendingProbe> mPending;
  std::map<UpstreamIncarnation, TimePoint> mCrashed;
};

} // namespace peridotspool::routing
