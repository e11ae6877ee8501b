#pragma once

#include "fakes/support/Json.h"

#include <chrono>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace peridotspool::fakes {

inline std::int64_t
WallClockMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/**
 * What an upstream did, one JSON object a line. Each line is one write to a
 * file opened for appending, so it outlives a kill of the process.
 */
class Journal
{
public:
  explicit Journal(const std::string& aFile)
  {
    if (!aFile.empty()) {
      mHandle =
        ::open(aFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    }
  }
  ~Journal()
  {
    if (mHandle >= 0) {
      ::close(mHandle);
    }
  }
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  void Add(json::object aLine)
  {
    aLine["at_ms"] = WallClockMs();
    const std::string text = json::serialize(aLine) + "\n";
    if (mHandle >= 0) {
      [[maybe_unused]] const auto written =
        ::write(mHandle, text.data(), text.size());
    }
  }

private:
  int mHandle = -1;
};

} // namespace peridotspool::fakes
