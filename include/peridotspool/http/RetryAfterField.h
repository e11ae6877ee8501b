#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/http/HttpMessage.h"

namespace peridotspool::http {

/**
 * Returns how long a response's Retry-After asks to wait; zero without the
 * field, or if it is invalid. A date counts only beside the response's own.
 */
Duration
RetryAfterOf(const HeaderFields& aHeaders);

} // namespace peridotspool::http
