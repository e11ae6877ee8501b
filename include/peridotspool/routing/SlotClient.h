#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/routing/SlotMessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace peridotspool::routing {

/** One send that needs a slot. */
struct SlotDemand
{
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  FailureDomain mDomain;
  CustomerName mCustomer;
  double mWeight = 1.0;
  std::uint32_t mPriority = 0;
  std::uint64_t mCost = 1;
  /** How long the send can wait and still be on time. */
  Duration mLatestStart{ 0 };
  /** How long the send can wait and still be answered. */
  Duration mMaxWait{ 0 };
};

enum class SlotVerdict
{
  kGranted,
  kDenied,
  /** The entry that was asked doesn't coordinate the upstream. */
  kNotCoordinator,
  /** The coordinator didn't respond. */
  kUnanswered,
  /** The coordinator fell silent while the request waited. */
  kCoordinatorLost,
  /** The request can wait no longer. */
  kOverdue,
};
BOOST_DESCRIBE_ENUM(SlotVerdict,
                    kGranted,
                    kDenied,
                    kNotCoordinator,
                    kUnanswered,
                    kCoordinatorLost,
                    kOverdue)

/** The final decision on a demand. */
struct SlotDecision
{
  std::uint64_t mTag = 0;
  UpstreamName mUpstream;
  SlotVerdict mVerdict = SlotVerdict::kUnanswered;
  /** When a slot is expected to be free for the request. */
  Duration mExpected{ 0 };
  Duration mWaited{ 0 };
  /** Sends that waited for the upstream, as last heard. */
  std::uint32_t mQueueLength = 0;
};

/** What a response, or the time, leads to. */
struct SlotResult
{
  std::optional<SlotDecision> mDecision;
  /** To be sent to the coordinator: the slot is not used. */
  std::optional<SlotReturn> mReturn;
};

/**
 * The slots that one entry has asked coordinators for. A request is decided at
 * the latest when its wait ends, whatever is heard; a grant that comes after
 * that is returned unused.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class SlotClient
{
public:
  /** Returns the message to the coordinator.
   * @param aTag not used before by any process; the id of the later send */
  SlotRequest Request(std::uint64_t aTag,
                      const SlotDemand& aDemand,
                      TimePoint aNow);
  SlotResult HandleResponse(const SlotResponse& aResponse, TimePoint aNow);
  /** Decides demands whose time is over; call at least every 50 ms. */
  std::vector<SlotResult> Tick(TimePoint aNow);
  /** Returns the message to the coordinator; empty if nothing is pending. */
  std::optional<SlotReturn> Cancel(std::uint64_t aTag);
  /** Ends all waits by then. */
  void LimitWaits(TimePoint aUntil);

  std::size_t PendingCount() const { return mPending.size(); }

private:
  struct Pending
  {
    UpstreamName mUpstream;
    TimePoint mRequestedAt;
    TimePoint mHeardAt;
    TimePoint mDeadline;
    Duration mExpected{ 0 };
    std::uint32_t mQueueLength = 0;
    bool mIsQueued = false;
  };

  static std::optional<SlotVerdict> TimedOut(const Pending& aPending,
                                             TimePoint aNow);

  std::map<std::uint64_t, Pending> mPending;
  /** Slots that were used recently, with the time of the grant. */
  std::map<std::uint64_t, TimePoint> mUsed;
};

} // namespace peridotspool::routing
