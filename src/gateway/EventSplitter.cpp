#include "gateway/EventSplitter.h"

#include <algorithm>
#include <utility>

namespace peridotspool::gateway {

namespace {

constexpr std::string_view kLineEnds = "\r\n";
constexpr std::string_view kIdField = "id:";

bool
EndsLine(char aByte)
{
  return aByte == '\n' || aByte == '\r';
}

/** Removes the first line and its end from the text and returns it. */
std::string_view
TakeLine(std::string_view& aText)
{
  const std::size_t end =
    std::min(aText.find_first_of(kLineEnds), aText.size());
  const std::string_view line = aText.substr(0, end);
  aText.remove_prefix(std::min(end + 1, aText.size()));
  return line;
}

bool
IsComment(std::string_view aLine)
{
  return aLine.starts_with(':');
}

} // namespace

std::string
EventSplitter::Append(std::string_view aBytes)
{
  std::size_t end = 0;
  for (const char byte : aBytes) {
    const std::size_t last = std::exchange(end, AppendByte(byte, end));
    mEventCount += end > last ? 1 : 0;
  }
  std::string whole = mIncomplete.substr(0, end);
  mIncomplete.erase(0, end);
  RecordEvents(whole);
  return whole;
}

// A line ends with a line feed, a carriage return, or both. A carriage return
// that ends an empty line may be half of such a pair. It completes the event at
// once only if the line before ended with a carriage return alone.
std::size_t
EventSplitter::AppendByte(char aByte, std::size_t aEndOfEvents)
{
  const char last = std::exchange(mLastByte, aByte);
  const bool afterCarriageReturn = last == '\r';
  mIncomplete += aByte;
  if (aByte == '\n' && afterCarriageReturn) {
    return mWasBlankLine ? mIncomplete.size() : aEndOfEvents;
  }
  const bool wasBlankLine = mWasBlankLine;
  if (EndsLine(aByte)) {
    mWasBlankLine = std::exchange(mLineIsEmpty, true);
    if (mWasBlankLine && (aByte == '\n' || afterCarriageReturn)) {
      return mIncomplete.size();
    }
    return aEndOfEvents;
  }
  mLineIsEmpty = false;
  return afterCarriageReturn && wasBlankLine ? mIncomplete.size() - 1
                                             : aEndOfEvents;
}

void
EventSplitter::StartResponse()
{
  mIncomplete.clear();
  mHasEvent = false;
  mEventCount = 0;
  mLastByte = '\0';
  mLineIsEmpty = true;
  mWasBlankLine = false;
}

bool
EventSplitter::IsInsideEvent() const
{
  if (!mIncomplete.empty() && !EndsLine(mIncomplete.back())) {
    return true;
  }
  std::string_view rest = mIncomplete;
  while (!rest.empty()) {
    const std::string_view line = TakeLine(rest);
    if (!line.empty() && !IsComment(line)) {
      return true;
    }
  }
  return false;
}

void
EventSplitter::RecordEvents(std::string_view aEvents)
{
  while (!aEvents.empty()) {
    std::string_view line = TakeLine(aEvents);
    if (line.empty() || IsComment(line)) {
      continue;
    }
    mHasEvent = true;
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    mLastId = line;
  }
}

} // namespace peridotspool::gateway
