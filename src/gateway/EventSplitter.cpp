#include "gateway/EventSplitter.h"

namespace peridotspool::gateway {

namespace {

/** Returns the end of the last complete event, or 0 if there is none. */
std::size_t
EndOfEvents(std::string_view aText)
{
  const std::size_t plain = aText.rfind("\n\n");
  const std::size_t dos = aText.rfind("\r\n\r\n");
  const std::size_t plainEnd = plain == std::string_view::npos ? 0 : plain + 2;
  const std::size_t dosEnd = dos == std::string_view::npos ? 0 : dos + 4;
  return plainEnd > dosEnd ? plainEnd : dosEnd;
}

} // namespace

std::string
EventSplitter::Append(std::string_view aBytes)
{
  mIncomplete.append(aBytes);
  const std::size_t end = EndOfEvents(mIncomplete);
  std::string whole = mIncomplete.substr(0, end);
  mIncomplete.erase(0, end);
  RecordIds(whole);
  return whole;
}

void
EventSplitter::RecordIds(std::string_view aEvents)
{
  while (!aEvents.empty()) {
    const std::size_t end = aEvents.find('\n');
    std::string_view line = aEvents.substr(0, end);
    aEvents = end == std::string_view::npos ? std::string_view()
                                            : aEvents.substr(end + 1);
    if (!line.starts_with("id:")) {
      continue;
    }
    line.remove_prefix(3);
    while (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    while (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    mLastId = line;
  }
}

} // namespace peridotspool::gateway
