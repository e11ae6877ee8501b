#pragma once

#include "peridotspool/base/LastReason.h"
#include "peridotspool/http/SseEvent.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotspool::http {

/**
 * Reads a stream of Server-Sent Events from pieces cut anywhere. Comments and
 * unknown fields are skipped, as the standard says.
 */
class SseParser
{
public:
  static constexpr std::size_t kDefaultMaxEventBytes = 1 << 20;

  explicit SseParser(std::size_t aMaxEventBytes = kDefaultMaxEventBytes);

  /**
   * Takes a piece and returns the events that it completed; empty with a reason
   * once an event is over the bound, and for ever after.
   */
  std::optional<std::vector<SseEvent>> Feed(std::string_view aPiece,
                                            LastReason& aReason);

  /** Returns the bytes of the event that is incomplete. */
  std::size_t IncompleteBytes() const { return mEventBytes; }

private:
  void TakeLine();
  void TakeField(std::string_view aName, std::string_view aValue);
  void EndEvent();

  std::size_t mMaxEventBytes;
  std::string mLine;
  bool mAfterCarriageReturn = false;
  bool mOverBound = false;
  bool mHasData = false;
  std::size_t mEventBytes = 0;
  SseEvent mEvent;
  std::vector<SseEvent> mComplete;
};

} // namespace peridotspool::http
