#include "hostile/ProcessWatch.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace peridotspool::hostile {

namespace {

constexpr std::chrono::milliseconds kPeriod{ 20 };

std::string
KernelText(const std::string& aHost)
{
  char text[9];
  std::snprintf(text, sizeof text, "%08X", ::inet_addr(aHost.c_str()));
  return text;
}

/** Returns the value of a line of /proc/PID/status, in bytes. */
std::size_t
StatusBytes(const std::string& aFolder, const std::string& aName)
{
  std::ifstream status(aFolder + "/status");
  std::string word;
  std::size_t kilobytes = 0;
  while (status >> word) {
    if (word == aName + ":" && status >> kilobytes) {
      return kilobytes << 10;
    }
  }
  return 0;
}

/** Returns the bytes that wait to be read at sockets of an address. */
std::size_t
UnreadBytes(const std::string& aAddress)
{
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::size_t bytes = 0;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> local >> remote >> state >> queues;
    const std::size_t colon = queues.find(':');
    constexpr const char* kListening = "0A";
    if (local.starts_with(aAddress) && state != kListening &&
        colon != std::string::npos) {
      bytes += std::stoul(queues.substr(colon + 1), nullptr, 16);
    }
  }
  return bytes;
}

} // namespace

ProcessWatch::ProcessWatch(pid_t aProcess, const std::string& aHost)
  : mFolder("/proc/" + std::to_string(aProcess))
  , mAddress(KernelText(aHost))
  , mThread([this] { Run(); })
{
}

ProcessWatch::~ProcessWatch()
{
  mRunning = false;
  mThread.join();
}

void
ProcessWatch::Run()
{
  while (mRunning) {
    mBytes = std::max(mBytes.load(),
                      StatusBytes(mFolder, "VmRSS") + UnreadBytes(mAddress));
    std::error_code ignored;
    const auto descriptors =
      std::filesystem::directory_iterator(mFolder + "/fd", ignored);
    mDescriptors =
      std::max<std::size_t>(mDescriptors,
                            static_cast<std::size_t>(std::distance(
                              begin(descriptors), end(descriptors))));
    std::this_thread::sleep_for(kPeriod);
  }
}

std::size_t
ProcessWatch::PeakBytes() const
{
  return std::max(mBytes.load(), StatusBytes(mFolder, "VmHWM"));
}

} // namespace peridotspool::hostile
