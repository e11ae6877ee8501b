#pragma once

#include "peridotspool/http/CallerApi.h"

#include <string>

namespace peridotspool::http {

/** Returns a JSON error answer: {"reason", "message", "ran"}. The last is "no",
 * but "maybe" for an entry that could not ask the ledger (503). */
HttpResponse
MakeErrorResponse(std::uint32_t aStatus,
                  const std::string& aReason,
                  const std::string& aMessage);

RefusedCommand
MakeRefusal(std::uint32_t aStatus,
            std::string aReason,
            const std::string& aMessage);
RefusedCommand
MakeUnauthorized(std::string aReason);
RefusedCommand
MakeNotFound();
RefusedCommand
MakeUnavailable(std::string aReason);

} // namespace peridotspool::http
