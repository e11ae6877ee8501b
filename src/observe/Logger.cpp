#include "peridotspool/observe/Logger.h"

#include "peridotspool/observe/LogLine.h"

#include <spdlog/async_logger.h>
#include <spdlog/details/thread_pool.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace peridotspool::observe {

/** The pool is declared first, so that it outlives the logger that uses it. */
struct Logger::Sink
{
  std::shared_ptr<spdlog::details::thread_pool> mPool;
  std::shared_ptr<spdlog::async_logger> mLogger;
};

namespace {

constexpr const char* kStandardOutput = "-";

spdlog::sink_ptr
OpenSink(const std::string& aFile)
{
  if (aFile.empty()) {
    return std::make_shared<spdlog::sinks::stderr_sink_mt>();
  }
  if (aFile == kStandardOutput) {
    return std::make_shared<spdlog::sinks::stdout_sink_mt>();
  }
  return std::make_shared<spdlog::sinks::basic_file_sink_mt>(aFile);
}

constexpr const char* kKeyValuePattern = "time=%Y-%m-%dT%H:%M:%S.%eZ %v";
constexpr const char* kJsonPattern = R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ",%v})";

} // namespace

std::unique_ptr<Logger>
Logger::Open(const settings::LogSettings& aSettings,
             const std::string& aProcess,
             LastReason& aReason)
{
  try {
    auto sink = std::make_unique<Sink>();
    sink->mPool =
      std::make_shared<spdlog::details::thread_pool>(aSettings.mQueueLines, 1);
    sink->mLogger = std::make_shared<spdlog::async_logger>(
      aProcess,
      OpenSink(aSettings.mFile),
      sink->mPool,
      spdlog::async_overflow_policy::overrun_oldest);
    const bool json = aSettings.mFormat == settings::LogFormat::kJson;
    sink->mLogger->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      json ? kJsonPattern : kKeyValuePattern, spdlog::pattern_time_type::utc));
    sink->mLogger->set_level(spdlog::level::trace);
    sink->mLogger->flush_on(spdlog::level::trace);
    return std::unique_ptr<Logger>(
      new Logger(aSettings, aProcess, std::move(sink)));
  } catch (const spdlog::spdlog_ex& fault) {
    aReason.Set(fault.what());
    return nullptr;
  }
}

Logger::Logger(settings::LogSettings aSettings,
               std::string aProcess,
               std::unique_ptr<Sink> aSink)
  : mSettings(std::move(aSettings))
  , mProcess(std::move(aProcess))
  , mSink(std::move(aSink))
{
}

Logger::~Logger() = default;

void
Logger::Log(EventId aEvent, std::initializer_list<LogField> aFields)
{
  const EventRow& row = RowOf(aEvent);
  if (row.mLevel < mSettings.mLevel) {
    return;
  }
  const std::span<const LogField> fields(aFields.begin(), aFields.size());
  const std::string line = mSettings.mFormat == settings::LogFormat::kJson
                             ? JsonMembers(row, mProcess, fields)
                             : KeyValueLine(row, mProcess, fields);
  // As an argument, not as the format: a brace in a value is no placeholder.
  mSink->mLogger->log(spdlog::level::info, "{}", line);
}

std::size_t
Logger::Dropped() const
{
  return mSink->mPool->overrun_counter();
}

} // namespace peridotspool::observe
