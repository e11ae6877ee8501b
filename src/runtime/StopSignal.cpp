#include "peridotspool/runtime/StopSignal.h"

#include <csignal>

#include <unistd.h>

namespace peridotspool::runtime {

namespace {

sigset_t
StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

} // namespace

void
BlockStopSignals()
{
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A peer that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  // A file that may not grow is a full disk, of which the store knows.
  std::signal(SIGXFSZ, SIG_IGN);
}

ProcessSignal
WaitForSignal()
{
  const sigset_t signals = StopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
  return signal == SIGHUP ? ProcessSignal::kReload : ProcessSignal::kStop;
}

void
WaitForStopSignal()
{
  while (WaitForSignal() == ProcessSignal::kReload) {
  }
}

void
RequestStop()
{
  ::kill(::getpid(), SIGTERM);
}

} // namespace peridotspool::runtime
