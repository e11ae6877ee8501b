#pragma once

#include "peridotspool/base/LastReason.h"
#include "peridotspool/runtime/ControlHostOptions.h"
#include "peridotspool/settings/ProcessSettings.h"

#include <memory>
#include <string>

namespace peridotspool::runtime {

/**
 * Makes the data folder of a new system's first control replica, with the
 * first settings. Refused when the folder holds anything.
 */
bool
InitialiseControl(const settings::ProcessSettings& aSettings,
                  LastReason& aReason);

/**
 * Runs one control replica: sockets, disk, threads and clock around
 * control::ControlNode. A thread for each duty: operators' HTTP, peers, the
 * disk, and the deciding thread.
 */
class ControlHost
{
public:
  explicit ControlHost(ControlHostOptions aOptions);
  ~ControlHost();

  /** Opens the data folder and starts all threads. */
  bool Start(LastReason& aReason);
  /** Asks the threads to stop; returns at once. */
  void Leave();
  /** Waits until all threads have stopped; false if the disk failed. */
  bool Wait();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace peridotspool::runtime
