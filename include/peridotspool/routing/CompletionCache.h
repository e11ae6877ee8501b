#pragma once

#include "peridotspool/base/ContentId.h"
#include "peridotspool/base/Time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace peridotspool::routing {

/**
 * Remembers for up to a minute when contents were last answered completely. It
 * is a direct-mapped cache, indexed by the content's hash: a newer content
 * replaces an older one in the same slot. Recording costs one write, and the
 * size is fixed.
 *
 * Not thread-safe.
 */
class CompletionCache
{
public:
  void Record(const ContentId& aContent, TimePoint aNow);
  /**
   * Returns the time since the last complete answer; empty if none is
   * remembered.
   */
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
