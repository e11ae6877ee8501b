#pragma once

#include "peridotspool/http/OperatorApi.h"

#include <optional>

namespace peridotspool::http {

/**
 * Reads what starts, lists and aborts rollouts, for addresses that only
 * operators can reach; empty for any other request. No key is asked for. The
 * present time is filled in by the replica that takes the request.
 */
std::optional<OperatorCommand>
ReadRolloutCall(const HttpRequest& aRequest);

HttpResponse
WriteRolloutAnswer(const control::RolloutOrderResponse& aAnswer);
HttpResponse
WriteRolloutAnswer(const control::RolloutsResponse& aAnswer);

} // namespace peridotspool::http
