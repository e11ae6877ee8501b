#pragma once

#include "peridotspool/membership/EntryMessage.h"

#include <variant>
#include <vector>

namespace peridotspool::membership {

/** A message came from a control replica. */
struct FromControlEvent
{
  ToEntryMessage mMessage;
};

/** The entry works by this revision of the settings from now on. */
struct SettingsInForceEvent
{
  Revision mRevision;
};

/** The entry is asked to stop (SIGTERM, reclaim notice). */
struct LeaveEvent
{};

/** A leaving entry has handed over all that it had. */
struct HandoverCompleteEvent
{};

/** Members that this entry can't reach now; replaces the earlier list. */
struct SuspectsEvent
{
  std::vector<MemberId> mSuspects;
};

/** Time has passed; about every 50 ms. */
struct SessionTickEvent
{};

using ControlSessionEvent = std::variant<FromControlEvent,
                                         SettingsInForceEvent,
                                         LeaveEvent,
                                         HandoverCompleteEvent,
                                         SuspectsEvent,
                                         SessionTickEvent>;

} // namespace peridotspool::membership
