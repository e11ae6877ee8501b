#pragma once

#include <string>
#include <string_view>

namespace peridotspool::gateway {

/**
 * Cuts the bytes of an event stream into whole events. An upstream may stop in
 * the middle of one; what a caller has of a stream must end between two, so
 * that another upstream can go on.
 */
class EventSplitter
{
public:
  /** Takes bytes and returns the whole events that they complete. */
  std::string Append(std::string_view aBytes);
  /** Bytes of an event that isn't whole. */
  const std::string& Incomplete() const { return mIncomplete; }
  void DropIncomplete() { mIncomplete.clear(); }
  /** The id of the last whole event; empty before the first with one. */
  const std::string& LastId() const { return mLastId; }

private:
  void RecordIds(std::string_view aEvents);

  std::string mIncomplete;
  std::string mLastId;
};

} // namespace peridotspool::gateway
