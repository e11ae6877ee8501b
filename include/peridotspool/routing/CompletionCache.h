#pragma once

#include "peridotspool/base/ContentId.h"
#include "peridotspool/base/Time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace peridotspool::routing {

/**
 * Remembers when contents were last answered completely, for a minute at most:
 * one place for each remainder of a content's hash, which the last one takes.
 * Noting one costs a write, and its size never changes.
 *
 * Not thread-safe.
 */
class CompletionCache
{
public:
  void Record(const ContentId& aContent, TimePoint aNow);
  /** Empty where it wasn't answered lately, as far as is remembered. */
  std::optional<Duration> AgeOf(const ContentId& aContent,
                                TimePoint aNow) const;

private:
  struct Completion
  {
    ContentId mContent;
    TimePoint mCompletedAt;
  };

  static constexpr std::size_t kSlots = 1024;

  std::array<std::optional<Completion>, kSlots> mSlots;
};

} // namespace peridotspool::routing
