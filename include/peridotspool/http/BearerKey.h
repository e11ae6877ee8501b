#pragma once

#include "peridotspool/http/HttpMessage.h"

#include <optional>
#include <string>

namespace peridotspool::http {

/** Returns the key of `Authorization: Bearer KEY`, if there is one. */
std::optional<std::string>
BearerKey(const HttpRequest& aRequest);

} // namespace peridotspool::http
