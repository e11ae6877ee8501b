#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace peridotspool::gateway {

/**
 * Splits the bytes of an event stream into complete events. An upstream may
 * fail in the middle of an event. Callers are sent complete events only, so
 * that another upstream can resume the stream after the last one.
 */
class EventSplitter
{
public:
  /** Appends bytes and returns the events that are complete now. */
  std::string Append(std::string_view aBytes);
  /** Begins another response that continues the stream. */
  void StartResponse();
  /** Bytes of the event that is not complete yet. */
  const std::string& Incomplete() const { return mIncomplete; }
  /** Returns true iff the stream would be cut off if it ended here. Complete
   * comments after the last event are no part of an event. */
  bool IsInsideEvent() const;
  /** Returns true iff the response contained at least one complete event. */
  bool HasEvent() const { return mHasEvent; }
  /** Number of complete events of the response. */
  std::uint64_t EventCount() const { return mEventCount; }
  /** The last id of a complete event; empty before the first one. */
  const std::string& LastId() const { return mLastId; }

private:
  /** Returns the end of the last complete event in mIncomplete after this
   * byte, or the value given if the byte completes none. */
  std::size_t AppendByte(char aByte, std::size_t aEndOfEvents);
  void RecordEvents(std::string_view aEvents);

  std::string mIncomplete;
  std::string mLastId;
  bool mHasEvent = false;
  std::uint64_t mEventCount = 0;
  char mLastByte = '\0';
  bool mLineIsEmpty = true;
  /** The last line that ended was empty. */
  bool mWasBlankLine = false;
};

} // namespace peridotspool::gateway
