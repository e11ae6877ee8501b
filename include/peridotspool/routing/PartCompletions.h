#pragma once

#include "peridotspool/base/PromptPartId.h"
#include "peridotspool/base/Time.h"

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

namespace peridotspool::routing {

/**
 * Remembers for some minutes when prompts with a part were last answered
 * completely. A set-associative cache of fixed size: in a full set, the part
 * that was not answered for the longest time is replaced, so that parts that
 * are answered often don't push out those that are answered now and then.
 *
 * Not thread-safe.
 */
class PartCompletions
{
public:
  PartCompletions();

  /** Records the first parts only of a prompt with very many. */
  void Record(const std::vector<PromptPartId>& aParts, TimePoint aNow);
  /**
   * Returns the time since the last complete answer; empty if none is
   * remembered.
   */
  std::optional<Duration> AgeOf(PromptPartId aPart, TimePoint aNow) const;

private:
  struct Completion
  {
    PromptPartId mPart;
    TimePoint mCompletedAt;
  };

  static constexpr std::size_t kWays = 4;
  using Set = std::array<Completion, kWays>;

  std::size_t IndexOf(PromptPartId aPart) const;

  std::vector<Set> mSets;
};

} // namespace peridotspool::routing
