#pragma once

namespace peridotspool::request {

/** Where a request stands at its executor. */
enum class ExecutionState
{
  /** Waits for an upstream, or for a retry's pause to pass. */
  kQueued,
  /** Waits until the right to send it once is committed. */
  kIntending,
  /** Sent; nothing has come back. */
  kDispatched,
  /** Pieces of the answer come. */
  kStreaming,
  /** Waits until it is committed that the last attempt did not run. */
  kVoiding,
  /** Waits until its outcome is committed. */
  kFinishing,
  kEnded,
};

} // namespace peridotspool::request
