#pragma once

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
  /** Bytes of the event that is not complete yet. */
  const std::string& Incomplete() const { return mIncomplete; }
  void DropIncomplete() { mIncomplete.clear(); }
  /** The last id of a complete event; empty before the first one. */
  const std::string& LastId() const { return mLastId; }

private:
  void RecordIds(std::string_view aEvents);

  std::string mIncomplete;
  std::string mLastId;
};

} // namespace peridotspool::gateway
