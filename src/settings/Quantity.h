#pragma once

#include "peridotspool/base/LastReason.h"
#include "settings/Schema.h"

#include <optional>
#include <string_view>

namespace peridotspool::settings {

/**
 * Reads a quantity in its base unit: durations in microseconds, bytes, rates
 * per second, shares from 0 to 1, plain numbers as they are. The unit has to
 * be written where the kind has one; otherwise empty with what was expected.
 */
std::optional<double>
ReadQuantity(ValueKind aKind, std::string_view aText, LastReason& aReason);

} // namespace peridotspool::settings
