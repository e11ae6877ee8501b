#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/ContentId.h"
#include "peridotspool/base/Ids.h"
#include "peridotspool/base/PromptPartId.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/routing/UpstreamIncarnation.h"

#include <compare>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace peridotspool::routing {

/**
 * A request that was running when the connection for its response was lost, or
 * whose response ended with its connection.
 */
struct LostResponse
{
  ContentId mContent;
  TimePoint mSentAt;
  TimePoint mLostAt;
  /** The run held the permit of a content that runs one at a time. */
  bool mHadPermit = false;
  /** Parts of its prompt that other requests may share. */
  std::vector<PromptPartId> mParts;
  /** Empty where no key is needed. */
  CustomerName mCustomer;
  /** The response looked complete, but only its connection's end marked its
   * end. */
  bool mSeemedComplete = false;

  auto operator<=>(const LostResponse&) const = default;
};

enum class CrashEvidence
{
  /** A connection to its address was refused. */
  kConnectionRefused,
  /** Another incarnation has announced itself at its address. */
  kNewIncarnation,
};

/**
 * An incarnation that crashed, without deregistering first, while it ran
 * requests of this entry.
 */
struct UpstreamCrash
{
  UpstreamIncarnation mUpstream;
  CrashEvidence mCrashEvidence = CrashEvidence::kConnectionRefused;
  std::vector<LostResponse> mLost;

  auto operator<=>(const UpstreamCrash&) const = default;
};

/**
 * Distinguishes the crash of an upstream from the loss of a connection to it. A
 * lost response alone shows neither: a live upstream may have reset the
 * connection, or the network between may have cut it.
 *
 * Only incarnations that had not announced that they leave are to be reported
 * here. Does no I/O and reads no clock. Not thread-safe.
 */
class CrashDetector
{
public:
  /**
   * Called when a response was lost. Returns the crash if the incarnation is
   * known to have crashed; otherwise ShouldProbe tells whether to probe its
   * address.
   */
  std::optional<UpstreamCrash> Lost(const UpstreamIncarnation& aIncarnation,
                                    const Address& aAddress,
                                    const LostResponse& aLost);
  /**
   * Returns true iff a connection is to be tried now; once for each pending
   * incarnation.
   */
  bool ShouldProbe(const UpstreamIncarnation& aIncarnation, TimePoint aNow);
  /**
   * Returns the pending incarnations whose last probe was inconclusive and is
   * to be repeated now, with their addresses.
   */
  std::vector<std::pair<UpstreamIncarnation, Address>> DueProbes(
    TimePoint aNow);

  /** Called when a connection to the incarnation's address was refused. */
  std::optional<UpstreamCrash> Refused(const UpstreamIncarnation& aIncarnation,
                                       TimePoint aNow);
  /**
   * Called when the probe connected: the incarnation is still alive. Returns
   * the responses that were complete, as they seemed to be.
   */
  std::vector<LostResponse> Accepted(const UpstreamIncarnation& aIncarnation);
  /**
   * Called when an incarnation announces itself. Returns the crashes of others
   * that had the same address.
   */
  std::vector<UpstreamCrash> Announced(const UpstreamIncarnation& aIncarnation,
                                       const Address& aAddress,
                                       TimePoint aNow);
  /** Drops expired state. */
  void Forget(TimePoint aNow);

private:
  struct PendingProbe
  {
    Address mAddress;
    std::vector<LostResponse> mLost;
    int mProbes = 0;
    TimePoint mProbedAt;
  };

  std::optional<UpstreamCrash> RecordCrash(
    const UpstreamIncarnation& aIncarnation,
    CrashEvidence aCrashEvidence,
    TimePoint aNow);

  std::map<UpstreamIncarnation, PendingProbe> mPending;
  std::map<UpstreamIncarnation, TimePoint> mCrashed;
};

} // namespace peridotspool::routing
