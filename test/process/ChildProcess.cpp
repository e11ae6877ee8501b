#include "process/ChildProcess.h"

#include "http/Eventually.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace peridotspool::test {

namespace {

constexpr int kCannotRun = 127;

/** Turns a new child into the program; only async-signal-safe calls. */
[[noreturn]] void
BecomeProgram(char* const* aArguments, int aLog)
{
  // A test that is killed runs no destructors, and its processes would stay.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::dup2(aLog, STDOUT_FILENO);
  ::dup2(aLog, STDERR_FILENO);
  ::execv(aArguments[0], aArguments);
  ::_exit(kCannotRun);
}

} // namespace

ChildProcess::ChildProcess(const std::string& aProgram,
                           std::vector<std::string> aArguments,
                           std::string aLogFile)
  : mLogFile(std::move(aLogFile))
{
  aArguments.insert(aArguments.begin(), aProgram);
  std::vector<char*> arguments;
  for (std::string& argument : aArguments) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  const int log =
    ::open(mLogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  REQUIRE(log >= 0);
  mPid = ::fork();
  if (mPid == 0) {
    BecomeProgram(arguments.data(), log);
  }
  ::close(log);
  REQUIRE(mPid > 0);
}

ChildProcess::~ChildProcess()
{
  Kill();
}

void
ChildProcess::Signal(int aSignal) const
{
  if (!mExitCode) {
    ::kill(mPid, aSignal);
  }
}

void
ChildProcess::Kill()
{
  Signal(SIGKILL);
  WaitForEnd();
}

bool
ChildProcess::IsRunning()
{
  int status = 0;
  if (!mExitCode && ::waitpid(mPid, &status, WNOHANG) == mPid) {
    mExitCode =
      WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
  return !mExitCode;
}

std::optional<int>
ChildProcess::WaitForEnd(std::chrono::seconds aPatience)
{
  Eventually([this] { return !IsRunning(); }, aPatience);
  return mExitCode;
}

std::string
ChildProcess::Log() const
{
  std::ostringstream text;
  text << std::ifstream(mLogFile).rdbuf();
  return text.str();
}

std::string
ChildProcess::PrintedValue(const std::string& aWord) const
{
  std::string value;
  const bool printed = Eventually([&] {
    std::istringstream lines(Log());
    std::string word;
    while (lines >> word) {
      if (word == aWord && lines >> value && lines.peek() == '\n') {
        return true;
      }
    }
    return false;
  });
  INFO(mLogFile << " must have a line that begins with " << aWord);
  REQUIRE(printed);
  return value;
}

} // namespace peridotspool::test
