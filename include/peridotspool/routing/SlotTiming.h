#pragma once

#include "peridotspool/base/Time.h"

namespace peridotspool::routing {

/** A coordinator responds at once, if only that the request is queued. */
constexpr Duration kSlotResponseTimeout = std::chrono::milliseconds(50);
/** A coordinator confirms to waiting requests this often that it is there. */
constexpr Duration kSlotConfirmPeriod = std::chrono::milliseconds(100);
/** A coordinator that was silent for this long is lost: two confirmations and
 * the ticks between them. */
constexpr Duration kSlotSilence = std::chrono::milliseconds(250);
/** A slot that isn't used within this time is free again. */
constexpr Duration kSlotGrantLifetime = std::chrono::seconds(1);

} // namespace peridotspool::routing
