// Slots of upstreams that have no room for all requests.

#include "gateway/GatewayCore.h"

#include <algorithm>
#include <utility>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;
using routing::SlotDenial;
using routing::SlotOutcome;
using routing::SlotVerdict;

/** A stopping entry accepts requests for longer than this, so what waits is
 * decided before it stops accepting. */
constexpr Duration kStoppingWait = std::chrono::seconds(1);

CounterId
CounterOf(SlotDenial aDenial)
{
  switch (aDenial) {
    case SlotDenial::kCustomerFull:
      return CounterId::kSlotDeniedCustomerFull;
    case SlotDenial::kQueueFull:
      return CounterId::kSlotDeniedQueueFull;
    case SlotDenial::kNone:
    case SlotDenial::kTooLate:
      break;
  }
  return CounterId::kSlotDeniedTooLate;
}

CounterId
CounterOf(SlotVerdict aVerdict)
{
  switch (aVerdict) {
    case SlotVerdict::kGranted:
      return CounterId::kSlotGranted;
    case SlotVerdict::kDenied:
      return CounterId::kSlotDenied;
    case SlotVerdict::kNotCoordinator:
      return CounterId::kSlotNotCoordinator;
    case SlotVerdict::kUnanswered:
      return CounterId::kSlotUnanswered;
    case SlotVerdict::kCoordinatorLost:
      return CounterId::kSlotCoordinatorLost;
    case SlotVerdict::kOverdue:
      break;
  }
  return CounterId::kSlotOverdue;
}

} // namespace

SlotScheduling*
GatewayCore::Slots()
{
  if (!mSlots && mScheduling.mShareCapacity) {
    mSlots = std::make_unique<SlotScheduling>(
      SlotScheduling{ .mAllocator = routing::SlotAllocator(
                        { .mReservedShare = mScheduling.mReservedShare }),
                      .mClient = {},
                      .mCallTimes = {},
                      .mWaiters = {},
                      .mWaitsEndAt = {} });
  }
  return mSlots.get();
}

// Whether this entry coordinates an upstream is read from the members that it
// knows. Unlike permits, slots need no lease: two coordinators at once grant
// too many slots for a moment, which the upstream's own queue holds.
routing::SlotCapacityLookup
GatewayCore::MakeSlotLookup()
{
  return [this, now = mNow()](const UpstreamName& aUpstream,
                              const FailureDomain& aDomain) {
    const auto incarnation = mSelector.IncarnationOf(aUpstream);
    const bool isOwn =
      incarnation && mSelector.IsReady(aUpstream) &&
      mCoordinators.CoordinatorOf(aUpstream, aDomain) == mTenure.Self();
    if (!isOwn) {
      return routing::SlotCapacity{};
    }
    const Duration lostAfter = mSlots->mAllocator.LostAfter(aUpstream);
    return routing::SlotCapacity{ .mIsCoordinated = true,
                                  .mIncarnation = *incarnation,
                                  .mSlots = mSelector.Slots(aUpstream),
                                  .mRunning = mCoordinator.RunningSince(
                                    aUpstream, now - lostAfter) };
  };
}

void
GatewayCore::HandleSlotRequest(const Address& aFrom,
                               const routing::SlotRequest& aRequest)
{
  if (SlotScheduling* slots = Slots()) {
    SendSlots(slots->mAllocator.HandleRequest(
      aFrom, aRequest, MakeSlotLookup(), mNow()));
  }
}

void
GatewayCore::HandleSlotReturn(const Address& aFrom,
                              const routing::SlotReturn& aReturn)
{
  if (SlotScheduling* slots = Slots()) {
    SendSlots(
      slots->mAllocator.HandleReturn(aFrom, aReturn, MakeSlotLookup(), mNow()));
  }
}

void
GatewayCore::SendSlots(std::vector<routing::AddressedSlot> aSlots)
{
  for (routing::AddressedSlot& slot : aSlots) {
    if (slot.mResponse.mOutcome == SlotOutcome::kGranted) {
      mCounters.Add(CounterId::kSlotsIssued);
    } else if (slot.mResponse.mOutcome == SlotOutcome::kDenied) {
      mCounters.Add(CounterOf(slot.mDenial));
    }
    slot.mResponse.mWaiting = static_cast<std::uint32_t>(
      mSlots->mAllocator.WaitingAt(slot.mResponse.mUpstream));
    mSendToEntry(slot.mTo, std::move(slot.mResponse));
  }
}

void
GatewayCore::HandleSlotResponse(const Address& aFrom,
                                const routing::SlotResponse& aResponse)
{
  SlotScheduling* slots = Slots();
  if (slots == nullptr) {
    return;
  }
  const routing::SlotResult result =
    slots->mClient.HandleResponse(aResponse, mNow());
  if (result.mReturn) {
    mSendToEntry(aFrom, *result.mReturn);
  }
  if (result.mDecision) {
    DecideSlot(*result.mDecision);
  }
}

void
GatewayCore::DecideSlot(const routing::SlotDecision& aDecision)
{
  mCounters.Add(CounterOf(aDecision.mVerdict));
  mCounters.Histogram(observe::HistogramId::kSlotWait)
    .Observe(aDecision.mWaited);
  const auto waiting = mSlots->mWaiters.find(aDecision.mTag);
  if (waiting != mSlots->mWaiters.end()) {
    const auto call = std::move(waiting->second);
    mSlots->mWaiters.erase(waiting);
    call(aDecision);
  }
}

// The exchange that waits knows whom it asked, and returns the request.
void
GatewayCore::EndSlotWaits()
{
  if (!mSlots) {
    return;
  }
  for (const routing::SlotResult& result : mSlots->mClient.Tick(mNow())) {
    DecideSlot(*result.mDecision);
  }
}

void
GatewayCore::TickSlots()
{
  if (!mSlots) {
    return;
  }
  const TimePoint now = mNow();
  if (mStopping) {
    if (!mSlots->mWaitsEndAt) {
      mSlots->mWaitsEndAt = now + kStoppingWait;
    }
    mSlots->mClient.LimitWaits(*mSlots->mWaitsEndAt);
  }
  SendSlots(mSlots->mAllocator.Tick(MakeSlotLookup(), now));
  EndSlotWaits();
  mCounters.Set(CounterId::kSlotsWaiting, mSlots->mClient.PendingCount());
  mCounters.Set(CounterId::kSlotQueueLength, mSlots->mAllocator.WaitingCount());
}

// Without this, requests would wait at one upstream's queue while another's is
// empty.
void
GatewayCore::AddSlotClaims(LoadResponse& aResponse)
{
  if (!mSlots) {
    return;
  }
  for (UpstreamLoad& load : aResponse.mLoads) {
    load.mRunning +=
      static_cast<std::uint32_t>(mSlots->mAllocator.Claims(load.mUpstream));
  }
}

void
GatewayCore::RecordSlotStarted(const SendStartedReport& aReport)
{
  if (mSlots) {
    mSlots->mAllocator.HandleStarted(aReport.mUpstream, aReport.mSendId);
  }
}

// A failed or rejected send says nothing of how long work takes.
SlotEnd
GatewayCore::MakeSlotEnd(const SendEndedReport& aReport)
{
  SlotEnd end{ .mUpstream = aReport.mUpstream, .mTook = {} };
  if (!mSlots) {
    return end;
  }
  end.mRunning = mCoordinator.Running(aReport.mUpstream);
  const auto sentAt = mCoordinator.SentAt(aReport.mUpstream, aReport.mSendId);
  if (sentAt && !aReport.mFailed && !aReport.mRejected) {
    end.mTook = mNow() - *sentAt;
  }
  return end;
}

void
GatewayCore::RecordSlotEnded(const SlotEnd& aEnd)
{
  if (mSlots) {
    SendSlots(mSlots->mAllocator.HandleEnded(
      aEnd.mUpstream, aEnd.mTook, aEnd.mRunning, MakeSlotLookup(), mNow()));
  }
}

} // namespace peridotspool::gateway
