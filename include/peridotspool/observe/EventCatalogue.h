#pragma once

#include "peridotspool/settings/LogSettings.h"

#include <array>
#include <string_view>

namespace peridotspool::observe {

using settings::LogLevel;

/** Numbers one kind of log event; see EventList.inc. */
enum class EventId
{
#define PERIDOTSPOOL_EVENT(aNumber, aName, aLevel, aMeaning)                   \
  k##aName = (aNumber),
#include "peridotspool/observe/EventList.inc"
#undef PERIDOTSPOOL_EVENT
};

/** What the catalogue says of one event. */
struct EventRow
{
  EventId mId;
  std::string_view mName;
  LogLevel mLevel;
  std::string_view mMeaning;

  constexpr int Number() const { return static_cast<int>(mId); }
};

/** Ordered by number. */
inline constexpr auto kEventRows = std::to_array<EventRow>({
#define PERIDOTSPOOL_EVENT(aNumber, aName, aLevel, aMeaning)                   \
  { EventId::k##aName, #aName, LogLevel::aLevel, aMeaning },
#include "peridotspool/observe/EventList.inc"
#undef PERIDOTSPOOL_EVENT
});

/** Returns the catalogue's row of an event. */
const EventRow&
RowOf(EventId aId);

} // namespace peridotspool::observe
