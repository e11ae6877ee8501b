#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/observe/Counters.h"
#include "peridotspool/observe/Logger.h"
#include "peridotspool/wire/PeerEnvelope.h"

#include <cstddef>

namespace peridotspool::runtime {

/** Counts one message to another process of the system, by what it is for. */
void
CountSent(observe::Counters& aCounters,
          const wire::PeerPayload& aPayload,
          std::size_t aBytes);

/** When what was sent by purpose is logged: every few seconds, in sums. */
class TrafficLog
{
public:
  void Tick(observe::Logger& aLogger,
            const observe::Counters& aCounters,
            TimePoint aNow);

private:
  TimePoint mLoggedAt;
};

} // namespace peridotspool::runtime
