// Waits for a slot of an upstream while no upstream has room.

#include "gateway/Exchange.h"
#include "peridotspool/routing/SlotTiming.h"

#include <boost/describe/enum_to_string.hpp>

#include <algorithm>
#include <utility>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;
using observe::EventId;
using routing::SlotVerdict;

constexpr unsigned kUnavailable = 503;
/** Fullness at which an upstream has no free slot. */
constexpr double kFull = 1.0;
/** A denied request tries one other upstream. */
constexpr std::size_t kMaxDenials = 2;
/** Upstreams that are looked at for a free slot; as many as are queried in a
 * longer shortlist. */
constexpr int kMaxAlternatives = 8;
/** Left for a refusal to reach its caller before the deadline: a tick of 50 ms,
 * the message and the way to the caller. */
constexpr Duration kRefusalTime = std::chrono::milliseconds(80);
/** Of the time left, for requests with short deadlines. */
constexpr int kRefusalPart = 4;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(200);

} // namespace

// An engine orders its own queue by the priority that it is told. Upstreams
// with a rate limit, and brittle ones, have permits instead.
bool
Exchange::NeedsSlot(const UpstreamChoice& aChoice) const
{
  const bool mayBeHeld = mRuns == 0 && !mBegun && !mOrigin && !mCore.mStopping;
  const bool isFull = aChoice.mLoadKnown && aChoice.mFullness >= kFull;
  const ServiceProfile* service = mTable->Service(mService);
  const bool hasEngine = service != nullptr && service->mEngine;
  return SharesCapacity() && mCore.Slots() != nullptr && mayBeHeld && isFull &&
         !hasEngine &&
         mCore.mCoordinators.CoordinatorOf(aChoice.mName, aChoice.mDomain);
}

void
Exchange::SendWhenSlotIsFree(const UpstreamChoice& aChoice)
{
  if (!NeedsSlot(aChoice)) {
    SendTo(aChoice);
  } else if (const auto free = FindFreeUpstream()) {
    SendTo(*free);
  } else {
    AskForSlot(aChoice);
  }
}

// The choice also weighs failure domains and failures, so another upstream may
// have a free slot.
std::optional<UpstreamChoice>
Exchange::FindFreeUpstream() const
{
  const TimePoint now = mCore.mNow();
  SelectionQuery query = mSelectionQuery;
  query.mAvoidLimited = true;
  for (int i = 0; i < kMaxAlternatives; ++i) {
    auto choice = mCore.mSelector.Choose(query, now);
    if (!choice) {
      return std::nullopt;
    }
    if (choice->mLoadKnown && choice->mFullness < kFull && !choice->mBrittle) {
      return choice;
    }
    query.mWithoutPermit.insert(choice->mName);
  }
  return std::nullopt;
}

// A customer without a limit has the mean weight of those with one.
double
Exchange::CustomerWeight() const
{
  if (mCustomer != nullptr && mCustomer->mRatePerSecond > 0.0) {
    return mCustomer->mRatePerSecond;
  }
  double sum = 0.0;
  int limited = 0;
  for (const Customer& customer : mTable->Source().mCustomers) {
    if (customer.mRatePerSecond > 0.0) {
      sum += customer.mRatePerSecond;
      ++limited;
    }
  }
  return limited == 0 ? 1.0 : sum / limited;
}

routing::SlotDemand
Exchange::MakeSlotDemand(const UpstreamChoice& aChoice) const
{
  const Duration usual = mCore.mSlots->mCallTimes.Usual(mService);
  const Duration left = TimeLeft();
  const Duration maxWait = std::max(
    Duration(0),
    left - usual - std::min<Duration>(kRefusalTime, left / kRefusalPart));
  Duration latestStart = maxWait;
  if (mRoute->mTargetLatency > Duration(0)) {
    latestStart = std::min<Duration>(
      maxWait, mArrivedAt + mRoute->mTargetLatency - mCore.mNow() - usual);
  }
  return { .mUpstream = aChoice.mName,
           .mIncarnation = aChoice.mIncarnation,
           .mDomain = aChoice.mDomain,
           .mCustomer =
             mCustomer == nullptr ? CustomerName() : mCustomer->mName,
           .mWeight = CustomerWeight(),
           .mPriority = EffectivePriority(),
           .mCost = 1,
           .mLatestStart = std::max(Duration(0), latestStart),
           .mMaxWait = maxWait };
}

void
Exchange::AskForSlot(const UpstreamChoice& aChoice)
{
  if (!mSlotWait) {
    mSlotWait = std::make_unique<SlotWait>(mCore.mIo);
  }
  SlotScheduling& slots = *mCore.mSlots;
  mSlotWait->mTag = ++mCore.mLastSendId;
  mSlotWait->mCoordinator =
    *mCore.mCoordinators.CoordinatorOf(aChoice.mName, aChoice.mDomain);
  mSlotWait->mChoice = aChoice;
  const routing::SlotRequest request = slots.mClient.Request(
    mSlotWait->mTag, MakeSlotDemand(aChoice), mCore.mNow());
  const std::weak_ptr<Exchange> weak = weak_from_this();
  slots.mWaiters[mSlotWait->mTag] =
    [weak](const routing::SlotDecision& aDecision) {
      if (const auto self = weak.lock();
          self && self->mSlotWait->mTag == aDecision.mTag) {
        self->OnSlotDecision(aDecision);
      }
    };
  mSlotWait->mTimer.expires_after(routing::kSlotResponseTimeout);
  mSlotWait->mTimer.async_wait([weak](http::ErrorCode aError) {
    if (const auto self = weak.lock(); self && !aError) {
      self->mCore.EndSlotWaits();
    }
  });
  mCore.mSendToEntry(mSlotWait->mCoordinator, request);
}

void
Exchange::OnSlotDecision(const routing::SlotDecision& aDecision)
{
  mSlotWait->mTag = 0;
  mSlotWait->mTimer.cancel();
  LogSlotDecision(aDecision);
  const UpstreamChoice choice = mSlotWait->mChoice;
  const bool isUsable =
    mCore.mSelector.MayReceive(choice.mName, choice.mIncarnation, mCore.mNow());
  const bool isGranted = aDecision.mVerdict == SlotVerdict::kGranted;
  const bool isHeld = aDecision.mVerdict != SlotVerdict::kDenied &&
                      aDecision.mVerdict != SlotVerdict::kNotCoordinator &&
                      !(isGranted && isUsable);
  if (isHeld) {
    mCore.mSendToEntry(
      mSlotWait->mCoordinator,
      routing::SlotReturn{ .mUpstream = choice.mName, .mTag = aDecision.mTag });
  }
  if (aDecision.mVerdict == SlotVerdict::kDenied ||
      aDecision.mVerdict == SlotVerdict::kOverdue) {
    OnSlotDenied(aDecision);
  } else if (isUsable) {
    mSlotWait->mGrantedTag = isGranted ? aDecision.mTag : 0;
    SendTo(choice);
  } else {
    ChooseAndSend();
  }
}

void
Exchange::OnSlotDenied(const routing::SlotDecision& aDecision)
{
  ++mSlotWait->mDenials;
  mSelectionQuery.mWithoutPermit.insert(aDecision.mUpstream);
  const bool mayAskAnother = aDecision.mVerdict == SlotVerdict::kDenied &&
                             mSlotWait->mDenials < kMaxDenials;
  const auto other = mayAskAnother
                       ? mCore.mSelector.Choose(mSelectionQuery, mCore.mNow())
                       : std::nullopt;
  if (other) {
    SendIfPermitted(*other);
  } else {
    RefuseForSlot(aDecision);
  }
}

void
Exchange::RefuseForSlot(const routing::SlotDecision& aDecision)
{
  const double retryAfter =
    SpreadRetryAfter(std::max(kMinRetryAfter, aDecision.mExpected));
  mCore.mCounters.Add(CounterId::kRefusedSlot);
  mCore.mLogger.Log(
    EventId::kRequestRefused,
    { { "request", mId },
      { "reason", "slot" },
      { "service", mService },
      { "upstream", aDecision.mUpstream },
      { "asked_ms", mCore.mNow() - mArrivedAt },
      { "come_back_ms", static_cast<std::int64_t>(retryAfter * 1e3) } });
  SendLocalResponse(kUnavailable, "upstreams are full", retryAfter);
}

void
Exchange::LogSlotDecision(const routing::SlotDecision& aDecision)
{
  const routing::SlotDemand demand = MakeSlotDemand(mSlotWait->mChoice);
  mCore.mLogger.Log(
    EventId::kSlotDecided,
    { { "request", mId },
      { "upstream", aDecision.mUpstream },
      { "customer", demand.mCustomer },
      { "priority", demand.mPriority },
      { "weight", demand.mWeight },
      { "queue", aDecision.mQueueLength },
      { "waited_ms", aDecision.mWaited },
      { "expected_ms", aDecision.mExpected },
      { "slack_ms", demand.mLatestStart },
      { "fullness", mSlotWait->mChoice.mFullness },
      { "coordinator", ToText(mSlotWait->mCoordinator) },
      { "outcome", boost::describe::enum_to_string(aDecision.mVerdict, "") } });
}

void
Exchange::CancelSlot()
{
  if (!mSlotWait || mSlotWait->mTag == 0) {
    return;
  }
  mSlotWait->mTimer.cancel();
  mCore.mSlots->mWaiters.erase(mSlotWait->mTag);
  if (const auto cancelled =
        mCore.mSlots->mClient.Cancel(std::exchange(mSlotWait->mTag, 0))) {
    mCore.mSendToEntry(mSlotWait->mCoordinator, *cancelled);
  }
}

// The report of the send tells the coordinator that the slot is in use.
std::uint64_t
Exchange::TakeSendId()
{
  const std::uint64_t granted =
    mSlotWait ? std::exchange(mSlotWait->mGrantedTag, 0) : 0;
  return granted != 0 ? granted : ++mCore.mLastSendId;
}

void
Exchange::RecordCallTime(SendResult aResult)
{
  if (SharesCapacity() && mCore.Slots() != nullptr &&
      aResult == SendResult::kAnswered && !mIsStream) {
    mCore.mSlots->mCallTimes.Record(mService, mCore.mNow() - mSent.mSentAt);
  }
}

} // namespace peridotspool::gateway
