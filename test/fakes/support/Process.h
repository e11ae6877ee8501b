#pragma once

#include "peridotspool/base/Address.h"

#include <csignal>
#include <iostream>

namespace peridotspool::fakes {

/** Blocks the stop signals; to be called before any thread is started. */
inline void
BlockStopSignals()
{
  sigset_t stops;
  sigemptyset(&stops);
  sigaddset(&stops, SIGTERM);
  sigaddset(&stops, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stops, nullptr);
}

/** Returns once a stop signal came. */
inline void
WaitForStopSignal()
{
  sigset_t stops;
  sigemptyset(&stops);
  sigaddset(&stops, SIGTERM);
  sigaddset(&stops, SIGINT);
  int which = 0;
  sigwait(&stops, &which);
}

/** Tells whoever started the process where it listens. */
inline void
PrintListening(const Address& aAddress)
{
  std::cout << "listening " << ToText(aAddress) << std::endl;
}

} // namespace peridotspool::fakes
