#pragma once

#include "peridotspool/control/OperatorRequest.h"
#include "peridotspool/control/OperatorResponse.h"
#include "peridotspool/http/CallerApi.h"
#include "peridotspool/http/HttpMessage.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace peridotspool::http {

/** An operator's request to a control replica, or the answer to a bad one. */
using OperatorCommand = std::variant<control::OperatorRequest, RefusedCommand>;

/**
 * Reads a request to a control replica's HTTP address: authenticates it and
 * gives it its type. Every request but an unknown one needs an operator's key.
 */
OperatorCommand
ReadOperatorRequest(const HttpRequest& aRequest, const KeyHashes& aKeys);

/**
 * Reads what lists and lifts the quarantine, for addresses that only operators
 * can reach; empty for any other request. No key is asked for.
 */
std::optional<OperatorCommand>
ReadQuarantineCall(const HttpRequest& aRequest);

/** Returns a replica's HTTP address for its peer address. */
using FindHttpAddress =
  std::function<std::optional<Address>(const Address& aPeer)>;

/** Writes the answer; a replica that doesn't lead names the one that does. */
HttpResponse
WriteOperatorAnswer(const control::OperatorResponse& aAnswer,
                    const FindHttpAddress& aFindHttp);

} // namespace peridotspool::http
