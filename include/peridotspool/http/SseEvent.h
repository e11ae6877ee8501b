#pragma once

#include <compare>
#include <optional>
#include <string>

namespace peridotspool::http {

/** One Server-Sent Event. */
struct SseEvent
{
  /** Empty if the event carried none. */
  std::optional<std::string> mId;
  /** Kind of event; "message" where the stream names none. */
  std::string mName = "message";
  std::string mData;

  auto operator<=>(const SseEvent&) const = default;
};

} // namespace peridotspool::http
