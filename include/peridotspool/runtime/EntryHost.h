#pragma once

#include "peridotspool/base/LastReason.h"
#include "peridotspool/settings/ProcessSettings.h"

#include <memory>

namespace peridotspool::runtime {

/**
 * Runs one entry: sockets, threads and clock around request::EntryNode.
 *
 * A thread for each duty: callers' HTTP, upstream calls, peers, and the
 * deciding thread, which alone touches the node. Bounded rings join them.
 */
class EntryHost
{
public:
  explicit EntryHost(settings::ProcessSettings aSettings);
  ~EntryHost();

  /** Starts all threads; false with the reason if it can't. */
  bool Start(LastReason& aReason);
  /** Begins a graceful shutdown; returns at once. */
  void Leave();
  /** Waits until the node has left, then stops all threads. */
  void Wait();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace peridotspool::runtime
