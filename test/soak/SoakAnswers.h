#pragma once

#include "soak/SoakNames.h"

#include <string>

namespace peridotspool::soak {

/** What an upstream answers to a plain request. */
std::string
PlainAnswer(const std::string& aId,
            const std::string& aUpstream,
            std::size_t aFillerBytes = kFillerBytes);

/** One event of the answer to a stream; the last one says so. */
std::string
StreamEvent(const std::string& aId, int aNumber);

/** Returns what is wrong with a success, or nothing. */
std::string
FaultOfAnswer(Kind aKind, const std::string& aId, const std::string& aBody);

/** The window that a usage report names. */
std::string
WindowOf(const std::string& aBody);

} // namespace peridotspool::soak
