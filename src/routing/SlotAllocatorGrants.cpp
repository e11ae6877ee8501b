// When a slot is free, and which requests get one.

#include "peridotspool/routing/SlotAllocator.h"

#include "peridotspool/routing/SlotTiming.h"
#include "routing/SlotResponses.h"

#include <algorithm>
#include <cmath>

namespace peridotspool::routing {

namespace {

/** From the end of a send to the start of the next one: the response, the
 * report, the grant and the send each cross two failure domains, at 1.4 ms. */
constexpr Duration kGrantPath = std::chrono::milliseconds(6);

} // namespace

bool
SlotAllocator::IsCurrent(const Record& aRecord, const SlotCapacity& aCapacity)
{
  return aCapacity.mIsCoordinated && aCapacity.mSlots > 0 &&
         aCapacity.mIncarnation == aRecord.mIncarnation;
}

// Enough to keep the upstream busy while a grant is under way.
std::size_t
SlotAllocator::Ahead(const Record& aRecord, std::uint32_t aSlots)
{
  if (!aRecord.mSlotTime) {
    return 1;
  }
  const double starts = aSlots * std::chrono::duration<double>(kGrantPath) /
                        std::chrono::duration<double>(*aRecord.mSlotTime);
  return std::clamp<std::size_t>(
    static_cast<std::size_t>(std::ceil(starts)), 1, aSlots);
}

bool
SlotAllocator::HasFree(const Record& aRecord, const SlotCapacity& aCapacity)
{
  return aCapacity.mRunning + aRecord.mGrants.size() <
         aCapacity.mSlots + Ahead(aRecord, aCapacity.mSlots);
}

// While nothing is known of the time of a slot, nothing is denied.
Duration
SlotAllocator::WaitFor(const Record& aRecord,
                       const SlotCapacity& aCapacity,
                       double aStarts)
{
  const auto capacity = aCapacity.mSlots + Ahead(aRecord, aCapacity.mSlots);
  const std::size_t used = aCapacity.mRunning + aRecord.mGrants.size();
  const double excess =
    used > capacity ? static_cast<double>(used - capacity) : 0.0;
  const Duration slotTime = aRecord.mSlotTime.value_or(Duration(0));
  return std::chrono::duration_cast<Duration>(
    (aStarts + excess) / aCapacity.mSlots *
    std::chrono::duration<double>(slotTime));
}

void
SlotAllocator::GrantFree(const UpstreamName& aUpstream,
                         Record& aRecord,
                         const SlotCapacity& aCapacity,
                         std::vector<AddressedSlot>& aResponses,
                         TimePoint aNow)
{
  while (HasFree(aRecord, aCapacity)) {
    const auto next = aRecord.mQueue.Pop(aNow);
    if (!next) {
      return;
    }
    if (next->mDeadline < aNow) {
      aResponses.push_back(RespondForSlot(next->mEntry,
                                          aUpstream,
                                          next->mTag,
                                          SlotOutcome::kDenied,
                                          WaitFor(aRecord, aCapacity, 1.0),
                                          SlotDenial::kTooLate));
      continue;
    }
    aRecord.mGrants[next->mTag] = { .mEntry = next->mEntry, .mAt = aNow };
    aResponses.push_back(RespondForSlot(
      next->mEntry, aUpstream, next->mTag, SlotOutcome::kGranted));
  }
}

// More urgent requests may have arrived since, or slots may have been lost.
void
SlotAllocator::DenyHopeless(const UpstreamName& aUpstream,
                            Record& aRecord,
                            const SlotCapacity& aCapacity,
                            std::vector<AddressedSlot>& aResponses,
                            TimePoint aNow)
{
  const bool confirms = aNow - aRecord.mConfirmedAt >= kSlotConfirmPeriod;
  if (confirms) {
    aRecord.mConfirmedAt = aNow;
  }
  double denied = 0.0;
  for (const auto& [send, starts] : aRecord.mQueue.Expected(aNow)) {
    const Duration wait =
      WaitFor(aRecord, aCapacity, std::max(1.0, starts - denied));
    if (aNow + wait > send.mDeadline) {
      aRecord.mQueue.Remove(send.mEntry, send.mTag);
      aResponses.push_back(RespondForSlot(send.mEntry,
                                          aUpstream,
                                          send.mTag,
                                          SlotOutcome::kDenied,
                                          wait,
                                          SlotDenial::kTooLate));
      denied += 1.0;
    } else if (confirms) {
      aResponses.push_back(RespondForSlot(
        send.mEntry, aUpstream, send.mTag, SlotOutcome::kQueued, wait));
    }
  }
}

// An entry that didn't use a slot is lost, frozen or cut off, and would use no
// other one.
void
SlotAllocator::ExpireGrants(Record& aRecord, TimePoint aNow)
{
  std::erase_if(aRecord.mGrants, [&](const auto& aPair) {
    const bool isExpired = aNow - aPair.second.mAt >= kSlotGrantLifetime;
    if (isExpired) {
      aRecord.mQueue.RemoveEntry(aPair.second.mEntry);
    }
    return isExpired;
  });
}

void
SlotAllocator::Dismiss(const UpstreamName& aUpstream,
                       Record& aRecord,
                       std::vector<AddressedSlot>& aResponses)
{
  for (const WaitingSend& send : aRecord.mQueue.TakeAll()) {
    aResponses.push_back(RespondForSlot(
      send.mEntry, aUpstream, send.mTag, SlotOutcome::kNotCoordinator));
  }
  aRecord.mGrants.clear();
}

} // namespace peridotspool::routing
