#include "peridotspool/http/SseWriter.h"

namespace peridotspool::http {

namespace {

// A line break within a name or an id would end the field and let the rest
// pass as fields of its own.
std::string
OneLine(std::string_view aText)
{
  std::string line(aText);
  for (char& character : line) {
    character = character == '\n' || character == '\r' ? ' ' : character;
  }
  return line;
}

void
AppendData(std::string_view aData, std::string& aTo)
{
  while (true) {
    const std::size_t end = aData.find_first_of("\r\n");
    aTo += "data: ";
    aTo += aData.substr(0, end);
    aTo += '\n';
    if (end == std::string_view::npos) {
      return;
    }
    const bool pair = aData.substr(end, 2) == "\r\n";
    aData.remove_prefix(end + (pair ? 2 : 1));
  }
}

} // namespace

std::string
FormatSseEvent(const SseEvent& aEvent)
{
  std::string bytes;
  if (aEvent.mId) {
    bytes += "id: " + OneLine(*aEvent.mId) + "\n";
  }
  bytes += "event: " + OneLine(aEvent.mName) + "\n";
  AppendData(aEvent.mData, bytes);
  bytes += '\n';
  return bytes;
}

std::string
FormatSseComment(std::string_view aText)
{
  return ": " + OneLine(aText) + "\n\n";
}

} // namespace peridotspool::http
