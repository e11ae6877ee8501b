#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace peridotspool::settings {

enum class LogLevel
{
  kDebug,
  kInfo,
  kWarn,
  kError,
};

enum class LogFormat
{
  kKeyValue,
  kJson,
};

/** How a process writes its log. */
struct LogSettings
{
  LogLevel mLevel = LogLevel::kInfo;
  LogFormat mFormat = LogFormat::kKeyValue;
  /** Empty for standard error, "-" for standard output. */
  std::string mFile;
  /** Lines that wait for the writer; beyond it the oldest are dropped. */
  std::uint64_t mQueueLines = 8192;

  auto operator<=>(const LogSettings&) const = default;
};

} // namespace peridotspool::settings
