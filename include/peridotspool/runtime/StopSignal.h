#pragma once

namespace peridotspool::runtime {

/**
 * Holds SIGTERM, SIGINT and SIGHUP back from all threads started later, so that
 * one thread can wait for them. Call it first in main.
 */
void
BlockStopSignals();

enum class ProcessSignal
{
  /** SIGTERM or SIGINT. */
  kStop,
  /** SIGHUP: the settings file has changed. */
  kReload,
};

/** Waits until one of the signals arrives. */
ProcessSignal
WaitForSignal();

/** Waits until SIGTERM or SIGINT arrives; SIGHUP changes nothing. */
void
WaitForStopSignal();

/** Makes WaitForStopSignal return, from any thread of this process. */
void
RequestStop();

} // namespace peridotspool::runtime
