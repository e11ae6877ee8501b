#include "peridotspool/routing/SlotAllocator.h"

#include "peridotspool/routing/SlotTiming.h"
#include "routing/SlotResponses.h"

#include <algorithm>
#include <utility>

namespace peridotspool::routing {

namespace {

/** Ended sends behind the mean time of a slot. */
constexpr int kSlotTimeSamples = 16;
/** A send that takes so many times the mean has been lost with its entry. */
constexpr int kLostFactor = 8;
constexpr Duration kMinLostAfter = std::chrono::seconds(1);
/** As LoadCoordinator keeps sends. */
constexpr Duration kMaxLostAfter = std::chrono::seconds(20);
/** Bounds the memory that messages of other processes can allocate here. */
constexpr std::size_t kMaxRecords = 4096;
/** Records that were not used for this long are dropped. */
constexpr Duration kMaxIdleAge = std::chrono::minutes(1);

// A request that is granted at once needs no response that it is queued.
void
RemoveObsolete(std::vector<AddressedSlot>& aResponses)
{
  const auto isGranted = [&](const AddressedSlot& aQueued) {
    return std::any_of(
      aResponses.begin(), aResponses.end(), [&](const AddressedSlot& aOne) {
        return aOne.mResponse.mOutcome == SlotOutcome::kGranted &&
               aOne.mResponse.mTag == aQueued.mResponse.mTag &&
               aOne.mTo == aQueued.mTo;
      });
  };
  const auto queued = std::find_if(
    aResponses.begin(), aResponses.end(), [&](const AddressedSlot& aOne) {
      return aOne.mResponse.mOutcome == SlotOutcome::kQueued && isGranted(aOne);
    });
  if (queued != aResponses.end()) {
    aResponses.erase(queued);
  }
}

} // namespace

SlotAllocator::SlotAllocator(SlotQueueOptions aOptions)
  : mOptions(aOptions)
{
}

SlotAllocator::Record*
SlotAllocator::FindOrAdd(const SlotRequest& aRequest, TimePoint aNow)
{
  auto found = mRecords.find(aRequest.mUpstream);
  if (found == mRecords.end()) {
    if (mRecords.size() >= kMaxRecords) {
      return nullptr;
    }
    found = mRecords.emplace(aRequest.mUpstream, Record(mOptions)).first;
    found->second.mIncarnation = aRequest.mIncarnation;
    found->second.mConfirmedAt = aNow;
  }
  return &found->second;
}

std::vector<AddressedSlot>
SlotAllocator::HandleRequest(const Address& aFrom,
                             const SlotRequest& aRequest,
                             const SlotCapacityLookup& aLookup,
                             TimePoint aNow)
{
  std::vector<AddressedSlot> responses;
  const auto refusal = RespondForSlot(
    aFrom, aRequest.mUpstream, aRequest.mTag, SlotOutcome::kNotCoordinator);
  const SlotCapacity capacity = aLookup(aRequest.mUpstream, aRequest.mDomain);
  const bool isServed = capacity.mIsCoordinated && capacity.mSlots > 0 &&
                        capacity.mIncarnation == aRequest.mIncarnation;
  Record* const record = isServed ? FindOrAdd(aRequest, aNow) : nullptr;
  if (record == nullptr) {
    responses.push_back(refusal);
    return responses;
  }
  if (record->mIncarnation != aRequest.mIncarnation) {
    // Waiting sends and granted slots were those of a process that is gone.
    Dismiss(aRequest.mUpstream, *record, responses);
    record->mIncarnation = aRequest.mIncarnation;
    record->mSlotTime.reset();
  }
  record->mDomain = aRequest.mDomain;
  record->mUsedAt = aNow;
  responses.push_back(
    Evaluate(*record, aFrom, aRequest, capacity, responses, aNow));
  GrantFree(aRequest.mUpstream, *record, capacity, responses, aNow);
  RemoveObsolete(responses);
  return responses;
}

// A message may arrive twice; the second has the effect of the first.
AddressedSlot
SlotAllocator::Evaluate(Record& aRecord,
                        const Address& aFrom,
                        const SlotRequest& aRequest,
                        const SlotCapacity& aCapacity,
                        std::vector<AddressedSlot>& aOthers,
                        TimePoint aNow)
{
  const auto granted = aRecord.mGrants.find(aRequest.mTag);
  if (granted != aRecord.mGrants.end() && granted->second.mEntry == aFrom) {
    return RespondForSlot(
      aFrom, aRequest.mUpstream, aRequest.mTag, SlotOutcome::kGranted);
  }
  if (aRecord.mQueue.Contains(aFrom, aRequest.mTag)) {
    return RespondForSlot(
      aFrom, aRequest.mUpstream, aRequest.mTag, SlotOutcome::kQueued);
  }
  return Enqueue(
    aRecord,
    aRequest.mUpstream,
    { .mEntry = aFrom,
      .mTag = aRequest.mTag,
      .mCustomer = aRequest.mCustomer,
      .mWeight = aRequest.mWeight,
      .mPriority = aRequest.mPriority,
      .mCost = static_cast<double>(aRequest.mCost),
      .mLatestStart = aNow + FromSlotMilliseconds(aRequest.mLatestStartMs),
      .mDeadline = aNow + FromSlotMilliseconds(aRequest.mMaxWaitMs) },
    aCapacity,
    aOthers,
    aNow);
}

AddressedSlot
SlotAllocator::Enqueue(Record& aRecord,
                       const UpstreamName& aUpstream,
                       WaitingSend aSend,
                       const SlotCapacity& aCapacity,
                       std::vector<AddressedSlot>& aOthers,
                       TimePoint aNow)
{
  const Address from = aSend.mEntry;
  const std::uint64_t tag = aSend.mTag;
  if (!aRecord.mQueue.HasRoomFor(aSend.mCustomer)) {
    const auto waiting = static_cast<double>(aRecord.mQueue.Size());
    return RespondForSlot(from,
                          aUpstream,
                          tag,
                          SlotOutcome::kDenied,
                          WaitFor(aRecord, aCapacity, waiting),
                          SlotDenial::kCustomerFull);
  }
  const bool isFree = aRecord.mQueue.Size() == 0 && HasFree(aRecord, aCapacity);
  Duration wait(0);
  if (!isFree) {
    wait =
      WaitFor(aRecord, aCapacity, aRecord.mQueue.ExpectedStarts(aSend, aNow));
    if (aNow + wait > aSend.mLatestStart) {
      wait = std::max(
        wait,
        WaitFor(aRecord, aCapacity, aRecord.mQueue.ExpectedLateStarts(aNow)));
    }
  }
  const auto deny = [&](SlotDenial aDenial) {
    return RespondForSlot(
      from, aUpstream, tag, SlotOutcome::kDenied, wait, aDenial);
  };
  if (!isFree && aNow + wait > aSend.mDeadline) {
    return deny(SlotDenial::kTooLate);
  }
  if (const auto last = aRecord.mQueue.Push(std::move(aSend), aNow)) {
    if (last->mTag == tag && last->mEntry == from) {
      return deny(SlotDenial::kQueueFull);
    }
    aOthers.push_back(RespondForSlot(last->mEntry,
                                     aUpstream,
                                     last->mTag,
                                     SlotOutcome::kDenied,
                                     wait,
                                     SlotDenial::kQueueFull));
  }
  return RespondForSlot(from, aUpstream, tag, SlotOutcome::kQueued, wait);
}

void
SlotAllocator::HandleStarted(const UpstreamName& aUpstream,
                             std::uint64_t aSendId)
{
  const auto found = mRecords.find(aUpstream);
  if (found != mRecords.end()) {
    found->second.mGrants.erase(aSendId);
  }
}

// With more sends than slots, the time of a send includes a wait at the
// upstream, which is not part of the time of a slot.
std::vector<AddressedSlot>
SlotAllocator::HandleEnded(const UpstreamName& aUpstream,
                           std::optional<Duration> aTook,
                           std::size_t aRunning,
                           const SlotCapacityLookup& aLookup,
                           TimePoint aNow)
{
  std::vector<AddressedSlot> responses;
  const auto found = mRecords.find(aUpstream);
  if (found == mRecords.end()) {
    return responses;
  }
  Record& record = found->second;
  const SlotCapacity capacity = aLookup(aUpstream, record.mDomain);
  if (!IsCurrent(record, capacity)) {
    return responses;
  }
  if (aTook && *aTook < LostAfter(aUpstream)) {
    const double slots = capacity.mSlots;
    const auto slotTime = std::chrono::duration_cast<Duration>(
      *aTook * (slots / std::max(slots, static_cast<double>(aRunning))));
    record.mSlotTime =
      record.mSlotTime
        ? *record.mSlotTime + (slotTime - *record.mSlotTime) / kSlotTimeSamples
        : slotTime;
    record.mSlotTime =
      std::max<Duration>(*record.mSlotTime, std::chrono::microseconds(100));
  }
  GrantFree(aUpstream, record, capacity, responses, aNow);
  return responses;
}

std::vector<AddressedSlot>
SlotAllocator::HandleReturn(const Address& aFrom,
                            const SlotReturn& aReturn,
                            const SlotCapacityLookup& aLookup,
                            TimePoint aNow)
{
  std::vector<AddressedSlot> responses;
  const auto found = mRecords.find(aReturn.mUpstream);
  if (found == mRecords.end()) {
    return responses;
  }
  Record& record = found->second;
  record.mQueue.Remove(aFrom, aReturn.mTag);
  const auto granted = record.mGrants.find(aReturn.mTag);
  if (granted != record.mGrants.end() && granted->second.mEntry == aFrom) {
    record.mGrants.erase(granted);
  }
  const SlotCapacity capacity = aLookup(aReturn.mUpstream, record.mDomain);
  if (IsCurrent(record, capacity)) {
    GrantFree(aReturn.mUpstream, record, capacity, responses, aNow);
  }
  return responses;
}

std::vector<AddressedSlot>
SlotAllocator::Tick(const SlotCapacityLookup& aLookup, TimePoint aNow)
{
  std::vector<AddressedSlot> responses;
  for (auto& [upstream, record] : mRecords) {
    const SlotCapacity capacity = aLookup(upstream, record.mDomain);
    if (!IsCurrent(record, capacity)) {
      Dismiss(upstream, record, responses);
      continue;
    }
    ExpireGrants(record, aNow);
    GrantFree(upstream, record, capacity, responses, aNow);
    DenyHopeless(upstream, record, capacity, responses, aNow);
  }
  std::erase_if(mRecords, [&](const auto& aPair) {
    return aPair.second.mQueue.Size() == 0 && aPair.second.mGrants.empty() &&
           aNow - aPair.second.mUsedAt >= kMaxIdleAge;
  });
  return responses;
}

std::size_t
SlotAllocator::Claims(const UpstreamName& aUpstream) const
{
  const auto found = mRecords.find(aUpstream);
  return found == mRecords.end()
           ? 0
           : found->second.mQueue.Size() + found->second.mGrants.size();
}

Duration
SlotAllocator::LostAfter(const UpstreamName& aUpstream) const
{
  const auto found = mRecords.find(aUpstream);
  return found == mRecords.end() || !found->second.mSlotTime
           ? kMaxLostAfter
           : std::clamp<Duration>(kLostFactor * *found->second.mSlotTime,
                                  kMinLostAfter,
                                  kMaxLostAfter);
}

std::size_t
SlotAllocator::WaitingAt(const UpstreamName& aUpstream) const
{
  const auto found = mRecords.find(aUpstream);
  return found == mRecords.end() ? 0 : found->second.mQueue.Size();
}

std::size_t
SlotAllocator::WaitingCount() const
{
  std::size_t waiting = 0;
  for (const auto& [upstream, record] : mRecords) {
    waiting += record.mQueue.Size();
  }
  return waiting;
}

} // namespace peridotspool::routing
