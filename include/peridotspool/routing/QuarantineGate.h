#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/routing/CompletionCache.h"
#include "peridotspool/routing/CrashReport.h"
#include "peridotspool/routing/Quarantine.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace peridotspool::routing {

/** What the gate says of one request. */
enum class GateOutcome
{
  /** Like any other. */
  kAllowed,
  /** It has the permit of its content; Ended is to be called. */
  kHasPermit,
  /** The leader is asked for its permit; a GateDecision follows. */
  kWaitsForPermit,
  /** It ended three upstreams in a row. */
  kRefused,
  /** Its permit has not come in time. */
  kPermitTimeout,
};

struct GateResult
{
  GateOutcome mOutcome = GateOutcome::kAllowed;
  /** Names the request in later calls; set with kWaitsForPermit. */
  std::uint64_t mTag = 0;
  /** With kWaitsForPermit: what to send to the leader. */
  PermitRequest mPermitRequest;
};

/** The late outcome of a request that waited. */
struct GateDecision
{
  std::uint64_t mTag = 0;
  GateOutcome mOutcome = GateOutcome::kAllowed;

  auto operator<=>(const GateDecision&) const = default;
};

/** What is to be done for the gate. */
struct GateActions
{
  std::vector<GateDecision> mDecisions;
  std::vector<PermitRequest> mPermitRequests;
  std::vector<RunEnded> mEnded;
};

/**
 * An entry's side of the quarantine: holds each request against the table that
 * the control group has committed, as far as it is known here. Contents that
 * aren't listed, which is nearly all, cost one look.
 *
 * A pure step; not thread-safe.
 */
class QuarantineGate
{
public:
  /** The last change known here; 0 for none. */
  std::uint64_t KnownNumber() const { return mKnownNumber; }
  bool HasTable() const { return mKnownNumber != 0; }
  QuarantineStage StageOf(const ContentId& aContent) const;
  std::size_t ListedCount() const { return mListed.size(); }

  /** Gives the requests that need not wait any more, and answers to contents
   * that are listed from now on. */
  GateActions ApplyUpdate(const QuarantineUpdate& aUpdate, TimePoint aNow);
  GateResult Check(const ContentId& aContent,
                   Duration aTimeLeft,
                   TimePoint aNow);
  std::optional<GateDecision> OnPermitResponse(const PermitResponse& aResponse);
  /** About every 50 ms. */
  GateActions Tick(TimePoint aNow);
  /** The caller of a request that waits has gone. */
  void Cancel(std::uint64_t aTag);
  /** The request that has this permit was not run after all. */
  RunEnded Ended(std::uint64_t aTag);
  /** An upstream has answered a request completely; aTag is its permit, or 0.
   * Returns what the leader is to be told, if anything. */
  std::optional<RunEnded> Answered(std::uint64_t aTag,
                                   const ContentId& aContent,
                                   TimePoint aNow);
  /** Its result was lost; what ended is not known yet. */
  void Lost(std::uint64_t aTag, TimePoint aNow);

private:
  struct Waiting
  {
    ContentId mContent;
    TimePoint mSince;
    TimePoint mUntil;
    TimePoint mRequestedAt;
  };
  struct Permit
  {
    ContentId mContent;
    /** When it is given back; unset while its request is being run. */
    std::optional<TimePoint> mReleaseAt;
  };

  std::uint64_t mKnownNumber = 0;
  std::unordered_map<ContentId, QuarantineStage> mListed;
  std::uint64_t mLastTag = 0;
  std::map<std::uint64_t, Waiting> mWaiting;
  std::map<std::uint64_t, Permit> mPermits;
  CompletionCache mCompletions;
};

} // namespace peridotspool::routing
