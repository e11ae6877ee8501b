#include "runtime/HostParts.h"

#include "peridotspool/runtime/KeyFiles.h"

#include <random>
#include <utility>

namespace peridotspool::runtime {

std::uint64_t
RandomNumber()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device() | 1;
}

std::optional<HostBasics>
OpenHostBasics(const settings::ProcessSettings& aSettings, LastReason& aReason)
{
  HostBasics basics;
  basics.mLogger =
    observe::Logger::Open(aSettings.mLog, aSettings.mName.Value(), aReason);
  if (!basics.mLogger) {
    return std::nullopt;
  }
  const auto key = ReadPeerKey(aSettings.mPeerKeyFile, aReason);
  const auto operators =
    key ? ReadOperators(aSettings.mOperatorsFile, aReason) : std::nullopt;
  if (!operators) {
    return std::nullopt;
  }
  basics.mPeerKey = *key;
  basics.mKeys = *operators;
  return basics;
}

void
SetHostGauges(observe::Counters& aCounters,
              const wire::PeerTransport& aTransport,
              const observe::Logger& aLogger)
{
  const wire::PeerTransportCounts peers = aTransport.Counts();
  using observe::CounterId;
  aCounters.Set(CounterId::kPeerBytesSent, peers.mBytesSent);
  aCounters.Set(CounterId::kPeerBytesReceived, peers.mBytesReceived);
  aCounters.Set(CounterId::kPeerMessagesDropped, peers.mFramesDropped);
  aCounters.Set(CounterId::kPeerMessagesOversized, peers.mFramesOversized);
  aCounters.Set(CounterId::kPeerAuthFailed, peers.mHandshakesRefused);
  aCounters.Set(CounterId::kLogLinesDropped, aLogger.Dropped());
}

} // namespace peridotspool::runtime
