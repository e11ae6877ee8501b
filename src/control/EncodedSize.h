#pragma once

#include "peridotspool/control/LogEntry.h"
#include "peridotspool/control/PersistEffect.h"
#include "peridotspool/control/RelayMessage.h"

#include <cstddef>

namespace peridotspool::control {

/** Bytes of a log entry on disk and in a message. */
std::size_t
EncodedSize(const LogEntry& aEntry);

/** Bytes of a reply in a message to a relay. */
std::size_t
EncodedSize(const RelayReplyPayload& aPayload);

/** Bytes of a write on disk. */
std::size_t
EncodedSize(const PersistEffect& aWrite);

} // namespace peridotspool::control
