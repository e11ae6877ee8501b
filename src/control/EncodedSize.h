#pragma once

#include "peridotspool/control/LogEntry.h"
#include "peridotspool/control/PersistEffect.h"

#include <cstddef>

namespace peridotspool::control {

/** Bytes of a log entry on disk and in a message. */
std::size_t
EncodedSize(const LogEntry& aEntry);

/** Bytes of a write on disk. */
std::size_t
EncodedSize(const PersistEffect& aWrite);

} // namespace peridotspool::control
