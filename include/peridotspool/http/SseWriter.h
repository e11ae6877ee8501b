#pragma once

#include "peridotspool/http/SseEvent.h"

#include <string>
#include <string_view>

namespace peridotspool::http {

/** Returns the bytes of one event; line breaks in its data are kept. */
std::string
FormatSseEvent(const SseEvent& aEvent);

/** Returns the bytes of a comment, which keeps a silent stream alive. */
std::string
FormatSseComment(std::string_view aText);

} // namespace peridotspool::http
