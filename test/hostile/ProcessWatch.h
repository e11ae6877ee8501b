#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <sys/types.h>
#include <thread>

namespace peridotspool::hostile {

/** Watches what a process holds, from outside, until this object ends. */
class ProcessWatch
{
public:
  /** @param aHost the address at which the process listens */
  ProcessWatch(pid_t aProcess, const std::string& aHost);
  ~ProcessWatch();
  ProcessWatch(const ProcessWatch&) = delete;
  ProcessWatch& operator=(const ProcessWatch&) = delete;

  /** Returns the most bytes of memory that the process has held, with those
   * that waited unread in its sockets. */
  std::size_t PeakBytes() const;
  std::size_t PeakDescriptors() const { return mDescriptors; }

private:
  void Run();

  const std::string mFolder;
  /** The address as the kernel writes it in its tables. */
  const std::string mAddress;
  std::atomic<std::size_t> mBytes{ 0 };
  std::atomic<std::size_t> mDescriptors{ 0 };
  std::atomic<bool> mRunning{ true };
  std::thread mThread;
};

} // namespace peridotspool::hostile
