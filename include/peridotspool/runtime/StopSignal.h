#pragma once

namespace peridotspool::runtime {

/**
 * Holds SIGTERM and SIGINT back from all threads started later, so that one
 * thread can wait for them. Call it first in main.
 */
void
BlockStopSignals();

/** Waits until SIGTERM or SIGINT arrives. */
void
WaitForStopSignal();

/** Makes WaitForStopSignal return, from any thread of this process. */
void
RequestStop();

} // namespace peridotspool::runtime
