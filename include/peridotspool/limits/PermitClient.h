#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/limits/PermitMessage.h"
#include "peridotspool/limits/UpstreamLimits.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace peridotspool::limits {

/** One send that needs a permit. */
struct PermitDemand
{
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  FailureDomain mDomain;
  std::uint32_t mPriority = 0;
  /** How long the send can wait. */
  Duration mMaxWait{ 0 };
};

/** The final decision on a demand. */
struct PermitDecision
{
  std::uint64_t mTag = 0;
  UpstreamName mUpstream;
  TimePoint mRequestedAt;
  /** As in PermitOutcome; empty if the coordinator didn't respond in time. */
  std::optional<PermitOutcome> mOutcome;
  Duration mRetryAfter{ 0 };
  PermitReceipt mReceipt;
};

/** What a coordinator's response leads to. */
struct PermitResult
{
  std::optional<PermitDecision> mDecision;
  /** To be sent to the coordinator: the permit is not used. */
  std::optional<SendPermitReturn> mReturn;
};

/**
 * The permits that one entry has requested from coordinators. A permit that
 * arrives later than kPermitLifetime after its request is returned unused, so
 * that delayed permits can't add up at the upstream.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class PermitClient
{
public:
  /** @param aLastTag random; keeps tags of an earlier process from matching */
  explicit PermitClient(std::uint64_t aLastTag)
    : mLastTag(aLastTag)
  {
  }

  /** Returns the message to the coordinator. */
  SendPermitRequest Request(const PermitDemand& aDemand,
                            const KnownLimit& aLimit,
                            TimePoint aNow);
  PermitResult HandleResponse(const SendPermitResponse& aResponse,
                              TimePoint aNow);
  /** Decides demands without a response in time; call about every 50 ms. */
  std::vector<PermitDecision> Tick(TimePoint aNow);
  /** Returns the message to the coordinator; empty if nothing is pending. */
  std::optional<SendPermitReturn> Cancel(std::uint64_t aTag);

  std::size_t PendingCount() const { return mPending.size(); }

private:
  struct Pending
  {
    UpstreamName mUpstream;
    TimePoint mRequestedAt;
    bool mIsQueued = false;
  };

  std::map<std::uint64_t, Pending> mPending;
  /** Permits that were used recently, with the time of their use. */
  std::map<std::uint64_t, TimePoint> mUsed;
  std::uint64_t mLastTag;
};

} // namespace peridotspool::limits
