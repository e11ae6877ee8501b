#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace peridotspool::test {

/** A process that the test started; it ends with this object at the latest. */
class ChildProcess
{
public:
  /** Starts a program; what it prints goes to aLogFile. */
  ChildProcess(const std::string& aProgram,
               std::vector<std::string> aArguments,
               std::string aLogFile);
  /** Kills it if it still runs. */
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int aSignal) const;
  /** Ends it as a machine that vanishes does, and waits for its end. */
  void Kill();
  /** Returns its exit code (128 + signal if killed), or empty after aPatience.
   */
  std::optional<int> WaitForEnd(
    std::chrono::seconds aPatience = std::chrono::seconds(40));
  bool IsRunning();
  pid_t Pid() const { return mPid; }
  /** What it printed so far. */
  std::string Log() const;
  /** The value of a printed line "<word> <value>"; waits for it. */
  std::string PrintedValue(const std::string& aWord) const;

private:
  const std::string mLogFile;
  pid_t mPid = -1;
  std::optional<int> mExitCode;
};

} // namespace peridotspool::test
