#pragma once

namespace peridotspool::request {

/** The state of a request at its executor. */
enum class ExecutionState
{
  /** Waits for admission, for an upstream, or for the delay before a retry. */
  kQueued,
  /** Waits for the commit of the intent to send it. */
  kIntending,
  /** Sent; no piece of the answer has arrived. */
  kDispatched,
  /** Receives pieces of the answer. */
  kStreaming,
  /** Waits for the commit that the last attempt did not run. */
  kVoiding,
  /** Waits for the commit of its outcome. */
  kFinishing,
  kEnded,
};

} // namespace peridotspool::request
