#pragma once

#include "peridotspool/http/CallerApi.h"
#include "peridotspool/http/HttpClient.h"
#include "peridotspool/wire/PeerEnvelope.h"

#include <variant>

namespace peridotspool::runtime {

/** A caller's, an upstream's or an operator's request, read and checked. */
struct CommandInput
{
  http::ExchangeId mExchange = 0;
  http::CallerCommand mCommand;
};

/** A caller's connection is gone. */
struct GoneInput
{
  http::ExchangeId mExchange = 0;
};

/** Something came on a call to an upstream. */
struct CallInput
{
  http::ClientCallId mCall = 0;
  http::CallEvent mEvent;
};

/** A frame came from another of our processes. */
struct PeerInput
{
  wire::PeerEnvelope mEnvelope;
};

/** SIGTERM. */
struct LeaveInput
{};

/** What the deciding thread of an entry takes from its ring. */
using EntryInput =
  std::variant<CommandInput, GoneInput, CallInput, PeerInput, LeaveInput>;

} // namespace peridotspool::runtime
