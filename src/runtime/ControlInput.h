#pragma once

#include "peridotspool/control/OperatorRequest.h"
#include "peridotspool/control/PersistEffect.h"
#include "peridotspool/http/HttpServer.h"
#include "peridotspool/wire/PeerEnvelope.h"

#include <variant>

namespace peridotspool::runtime {

struct OperatorInput
{
  http::ExchangeId mExchange = 0;
  control::OperatorRequest mRequest;
};

struct ControlPeerInput
{
  wire::PeerEnvelope mEnvelope;
};

/** The disk thread has synced all writes up to this one. */
struct SyncedInput
{
  control::SyncToken mToken;
};

struct StopInput
{};

/** What the deciding thread of a control replica takes from its ring. */
using ControlInput =
  std::variant<OperatorInput, ControlPeerInput, SyncedInput, StopInput>;

} // namespace peridotspool::runtime
