#pragma once

namespace peridotspool {

/** Logs to standard error and aborts; see PERIDOTSPOOL_INVARIANT. */
[[noreturn]] void
FailInvariant(const char* aExpression, const char* aFile, int aLine);

} // namespace peridotspool

/**
 * Stops the process when a condition that our own code guarantees is false.
 * Never used for what another process, an operator or a file may send.
 */
#define PERIDOTSPOOL_INVARIANT(aExpression)                                    \
  ((aExpression)                                                               \
     ? static_cast<void>(0)                                                    \
     : ::peridotspool::FailInvariant(#aExpression, __FILE__, __LINE__))
