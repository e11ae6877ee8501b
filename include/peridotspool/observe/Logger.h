#pragma once

#include "peridotspool/base/LastReason.h"
#include "peridotspool/observe/EventCatalogue.h"
#include "peridotspool/observe/LogField.h"
#include "peridotspool/settings/LogSettings.h"

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <string>

namespace peridotspool::observe {

/**
 * Writes numbered events, one a line, on a thread of its own. Any thread may
 * log; logging never blocks: beyond the queue's bound the oldest waiting lines
 * are dropped and counted.
 */
class Logger
{
public:
  /** Returns null with a reason iff the log file can't be opened. */
  static std::unique_ptr<Logger> Open(const settings::LogSettings& aSettings,
                                      const std::string& aProcess,
                                      LastReason& aReason);
  /** Writes what is waiting. */
  ~Logger();

  void Log(EventId aEvent, std::initializer_list<LogField> aFields = {});

  /** Lines dropped so far because the writer was behind. */
  std::size_t Dropped() const;

private:
  struct Sink;
  Logger(settings::LogSettings aSettings,
         std::string aProcess,
         std::unique_ptr<Sink> aSink);

  settings::LogSettings mSettings;
  std::string mProcess;
  std::unique_ptr<Sink> mSink;
};

} // namespace peridotspool::observe
