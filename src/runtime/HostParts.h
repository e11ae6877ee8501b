#pragma once

#include "peridotspool/base/LastReason.h"
#include "peridotspool/http/CallerApi.h"
#include "peridotspool/observe/Counters.h"
#include "peridotspool/observe/Logger.h"
#include "peridotspool/settings/ProcessSettings.h"
#include "peridotspool/wire/PeerTransport.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace peridotspool::runtime {

/** Returns a number from the system's generator, never zero. */
std::uint64_t
RandomNumber();

/** What every host opens before its sockets. */
struct HostBasics
{
  std::unique_ptr<observe::Logger> mLogger;
  std::string mPeerKey;
  http::KeyHashes mKeys;
};

/** Opens the log and reads the key files; empty with the reason on a fault. */
std::optional<HostBasics>
OpenHostBasics(const settings::ProcessSettings& aSettings, LastReason& aReason);

/** Copies what the transport and the log count to the metrics page. */
void
SetHostGauges(observe::Counters& aCounters,
              const wire::PeerTransport& aTransport,
              const observe::Logger& aLogger);

} // namespace peridotspool::runtime
