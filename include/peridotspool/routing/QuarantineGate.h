#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/routing/CompletionCache.h"
#include "peridotspool/routing/CrashReport.h"
#include "peridotspool/routing/GateRequest.h"
#include "peridotspool/routing/PartCompletions.h"
#include "peridotspool/routing/Quarantine.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace peridotspool::routing {

/** The outcome of the quarantine check of one request. */
enum class GateOutcome
{
  /** The request runs without a permit. */
  kAllowed,
  /**
   * The request holds the permit of its content. Call Ended, Answered or Lost
   * when it is over.
   */
  kHasPermit,
  /** A permit was requested from the leader; a GateDecision follows. */
  kWaitsForPermit,
  /** The content or a part is refused, as it crashes upstreams. */
  kRefused,
  /** The permit was not granted in time. */
  kPermitTimeout,
};

struct GateResult
{
  GateOutcome mOutcome = GateOutcome::kAllowed;
  /** Identifies the request in later calls; set with kWaitsForPermit. */
  std::uint64_t mTag = 0;
  /** The request to send to the leader; set with kWaitsForPermit. */
  PermitRequest mPermitRequest;
  /** The content or part that is refused; set with kRefused. */
  std::optional<ContentId> mRefused;
};

/** The outcome for a request that waited for a permit. */
struct GateDecision
{
  std::uint64_t mTag = 0;
  GateOutcome mOutcome = GateOutcome::kAllowed;

  auto operator<=>(const GateDecision&) const = default;
};

/** What the caller of the gate has to carry out. */
struct GateActions
{
  std::vector<GateDecision> mDecisions;
  std::vector<PermitRequest> mPermitRequests;
  std::vector<RunEnded> mEnded;
};

/**
 * Applies the quarantine at one entry: checks each request against the
 * committed table as far as it is known here. A content that isn't listed, as
 * nearly all are, costs a single lookup.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class QuarantineGate
{
public:
  /** Number of the last change known here; 0 if there is none. */
  std::uint64_t KnownNumber() const { return mKnownNumber; }
  bool HasTable() const { return mKnownNumber != 0; }
  QuarantineStage StageOf(const ContentId& aContent,
                          const CustomerName& aCustomer = {}) const;
  std::size_t ListedCount() const { return mListed.size(); }

  /** Returns true iff the content or a part of the request is listed. */
  bool IsListed(const GateRequest& aRequest) const;
  /** Returns true iff the content or a part of the request is refused. */
  bool IsRefused(const GateRequest& aRequest) const
  {
    return StandingOf(aRequest).mRefused.has_value();
  }

  /**
   * Returns the decisions for requests that no longer need to wait, and reports
   * of recent complete answers to contents that are listed from now on.
   */
  GateActions ApplyUpdate(const QuarantineUpdate& aUpdate, TimePoint aNow);
  /**
   * Returns reports of the remembered answers to all that is listed, for a
   * leader that has received none from this entry.
   */
  std::vector<RunEnded> RememberedAnswers(TimePoint aNow) const;
  GateResult Check(const GateRequest& aRequest,
                   Duration aTimeLeft,
                   TimePoint aNow);
  std::optional<GateDecision> OnPermitResponse(const PermitResponse& aResponse);
  /** Called about every 50 ms. */
  GateActions Tick(TimePoint aNow);
  /** Called when the caller of a waiting request has disconnected. */
  void Cancel(std::uint64_t aTag);
  /** Called when the request that holds this permit was not run. */
  RunEnded Ended(std::uint64_t aTag);
  /**
   * Called when an upstream has answered a request. aTag is its permit, or 0
   * for none. Returns the reports for the leader.
   */
  std::vector<RunEnded> Answered(std::uint64_t aTag,
                                 const GateRequest& aRequest,
                                 AnswerEvidence aEvidence,
                                 TimePoint aNow);
  /**
   * Called when the response was lost and it is not known yet whether the
   * upstream crashed.
   */
  void Lost(std::uint64_t aTag, TimePoint aNow);

private:
  struct Listed
  {
    QuarantineStatus mStatus;
    /** When the leader was last told of an answer. */
    std::optional<TimePoint> mReportedAt;
  };
  /** What the table says of a request. */
  struct Standing
  {
    std::optional<ContentId> mRefused;
    /** Those that run one at a time. */
    std::vector<ContentId> mSerialized;
  };
  struct Waiting
  {
    GateRequest mRequest;
    /** For which a permit was last requested. */
    std::vector<ContentId> mSerialized;
    TimePoint mSince;
    TimePoint mUntil;
    TimePoint mRequestedAt;
  };
  struct Permit
  {
    std::vector<ContentId> mContents;
    CustomerName mCustomer;
    /** When the permit is released; unset while its request runs. */
    std::optional<TimePoint> mReleaseAt;
  };

  Standing StandingOf(const GateRequest& aRequest) const;
  std::optional<Duration> LastAnswerAge(const ContentId& aContent,
                                        TimePoint aNow) const;
  bool ShouldReport(const ContentId& aContent, TimePoint aNow);
  void DecideWaiting(GateActions& aActions);

  std::uint64_t mKnownNumber = 0;
  std::unordered_map<ContentId, Listed> mListed;
  std::uint64_t mLastTag = 0;
  std::map<std::uint64_t, Waiting> mWaiting;
  std::map<std::uint64_t, Permit> mPermits;
  CompletionCache mCompletions;
  PartCompletions mPartCompletions;
};

} // namespace peridotspool::routing
