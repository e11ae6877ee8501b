#include "peridotspool/http/SseParser.h"

#include <utility>

namespace peridotspool::http {

SseParser::SseParser(std::size_t aMaxEventBytes)
  : mMaxEventBytes(aMaxEventBytes)
{
}

std::optional<std::vector<SseEvent>>
SseParser::Feed(std::string_view aPiece, LastReason& aReason)
{
  for (const char character : aPiece) {
    if (mOverBound || ++mEventBytes > mMaxEventBytes) {
      // An event without end would grow until memory runs out.
      mOverBound = true;
      aReason.Set("an event is over " + std::to_string(mMaxEventBytes) +
                  " bytes");
      return std::nullopt;
    }
    const bool secondOfPair = mAfterCarriageReturn && character == '\n';
    mAfterCarriageReturn = character == '\r';
    if (secondOfPair) {
      continue;
    }
    if (character == '\n' || character == '\r') {
      TakeLine();
    } else {
      mLine += character;
    }
  }
  return std::exchange(mComplete, {});
}

void
SseParser::TakeLine()
{
  const std::string line = std::exchange(mLine, {});
  if (line.empty()) {
    EndEvent();
    return;
  }
  const std::size_t colon = line.find(':');
  const std::string_view name = std::string_view(line).substr(0, colon);
  std::string_view value;
  if (colon != std::string::npos) {
    value = std::string_view(line).substr(colon + 1);
  }
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  TakeField(name, value);
}

void
SseParser::TakeField(std::string_view aName, std::string_view aValue)
{
  if (aName == "data") {
    mEvent.mData += mHasData ? "\n" : "";
    mEvent.mData += aValue;
    mHasData = true;
  } else if (aName == "event" && !aValue.empty()) {
    mEvent.mName = aValue;
  } else if (aName == "id") {
    mEvent.mId = std::string(aValue);
  } else if (aName.empty()) {
    // A comment, sent to keep the connection alive: it is no part of an event.
    mEventBytes -= std::min(mEventBytes, aValue.size());
  }
}

void
SseParser::EndEvent()
{
  mEventBytes = 0;
  SseEvent event = std::exchange(mEvent, {});
  if (std::exchange(mHasData, false)) {
    mComplete.push_back(std::move(event));
  }
}

} // namespace peridotspool::http
