#pragma once

#include "peridotspool/routing/AddressedSlot.h"

#include "peridotspool/base/Time.h"

#include <algorithm>
#include <cstdint>

namespace peridotspool::routing {

/** Bounds the times in messages. */
constexpr Duration kMaxSlotTime = std::chrono::minutes(10);

inline Duration
FromSlotMilliseconds(std::uint32_t aMilliseconds)
{
  return std::min<Duration>(std::chrono::milliseconds(aMilliseconds),
                            kMaxSlotTime);
}

inline AddressedSlot
RespondForSlot(const Address& aTo,
               const UpstreamName& aUpstream,
               std::uint64_t aTag,
               SlotOutcome aOutcome,
               Duration aExpected = Duration(0),
               SlotDenial aDenial = SlotDenial::kNone)
{
  const auto expected = std::chrono::ceil<std::chrono::milliseconds>(
    std::clamp(aExpected, Duration(0), kMaxSlotTime));
  return { .mTo = aTo,
           .mResponse = { .mUpstream = aUpstream,
                          .mTag = aTag,
                          .mOutcome = aOutcome,
                          .mExpectedMs =
                            static_cast<std::uint32_t>(expected.count()) },
           .mDenial = aDenial };
}

} // namespace peridotspool::routing
