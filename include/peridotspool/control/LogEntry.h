#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/control/Command.h"

#include <boost/describe/class.hpp>

namespace peridotspool::control {

/** One entry of the control log. */
struct LogEntry
{
  LogIndex mIndex;
  Term mTerm;
  Command mCommand;

  auto operator<=>(const LogEntry&) const = default;
};
BOOST_DESCRIBE_STRUCT(LogEntry, (), (mIndex, mTerm, mCommand))

} // namespace peridotspool::control
