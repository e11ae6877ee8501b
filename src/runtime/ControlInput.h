#pragma once

#include "peridotspool/control/OperatorRequest.h"
#include "peridotspool/control/PersistEffect.h"
#include "peridotspool/http/HttpServer.h"
#include "peridotspool/runtime/ControlDialect.h"
#include "peridotspool/wire/PeerEnvelope.h"

#include "runtime/DutyRunner.h"

#include <string>
#include <variant>

namespace peridotspool::runtime {

/** A request at one of the replica's HTTP addresses. */
struct HttpInput
{
  http::HttpServer* mServer = nullptr;
  http::ExchangeId mExchange = 0;
  ControlCall mCall;
  std::string mTarget;
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
  std::variant<HttpInput, ControlPeerInput, SyncedInput, CloudInput, StopInput>;

} // namespace peridotspool::runtime
