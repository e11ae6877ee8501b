#pragma once

#include "peridotspool/observe/EventCatalogue.h"
#include "peridotspool/observe/LogField.h"

#include <span>
#include <string>
#include <string_view>

namespace peridotspool::observe {

/** Bytes of one value in a log line; longer ones are cut. */
inline constexpr std::size_t kMaxLoggedBytes = 512;

/**
 * Returns "level=... event=... name=... process=... field=value ...". Values
 * with spaces, quotes or control characters are quoted and escaped, so that
 * what a caller sent can't forge a line or a field.
 */
std::string
KeyValueLine(const EventRow& aEvent,
             std::string_view aProcess,
             std::span<const LogField> aFields);

/** Returns the members of a JSON object, without its braces. */
std::string
JsonMembers(const EventRow& aEvent,
            std::string_view aProcess,
            std::span<const LogField> aFields);

} // namespace peridotspool::observe
