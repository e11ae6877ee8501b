#pragma once

#include "http/BeastTypes.h"

namespace peridotspool::http {

/**
 * Returns true iff a response's body is as its sender made it once its chunks,
 * if any, are joined. The parser ignores encodings that it doesn't know.
 */
bool
HasKnownTransferEncoding(const beast_http::fields& aFields);

} // namespace peridotspool::http
