#pragma once

#include "peridotspool/membership/EntryMessage.h"

#include <optional>
#include <variant>
#include <vector>

namespace peridotspool::membership {

/** A message from a control replica was received. */
struct FromControlEvent
{
  ToEntryMessage mMessage;
  /** The process that it is for, where that isn't known to be this one. */
  std::optional<EntryNonce> mTo = std::nullopt;
};

/** The entry has applied this revision of the settings. */
struct SettingsInForceEvent
{
  Revision mRevision;
};

/** The entry was requested to stop (SIGTERM or a reclaim notice). */
struct LeaveEvent
{};

/** A leaving entry has handed over everything that it held. */
struct HandoverCompleteEvent
{};

/** Members that this entry cannot reach; replaces the previous list. */
struct SuspectsEvent
{
  std::vector<MemberId> mSuspects;
};

/** A request depends on whether the settings are still the newest. */
struct ConfirmSettingsEvent
{};

/** Advances the time; sent about every 50 ms. */
struct SessionTickEvent
{};

using ControlSessionEvent = std::variant<FromControlEvent,
                                         SettingsInForceEvent,
                                         LeaveEvent,
                                         HandoverCompleteEvent,
                                         SuspectsEvent,
                                         ConfirmSettingsEvent,
                                         SessionTickEvent>;

} // namespace peridotspool::membership
