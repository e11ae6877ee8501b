#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <optional>
#include <unordered_map>

namespace peridotspool::gateway {

/** How long plain calls of each service usually take, from their sending to
 * their answer. Holds one time for each service. */
class PlainCallTimes
{
public:
  void Add(const ServiceName& aService, Duration aTook)
  {
    const auto [place, added] = mTimes.try_emplace(aService, aTook);
    if (!added) {
      place->second += (aTook - place->second) / kSamples;
    }
  }
  /** Returns empty if no call has been answered yet. */
  std::optional<Duration> Usual(const ServiceName& aService) const
  {
    const auto found = mTimes.find(aService);
    return found == mTimes.end() ? std::nullopt : std::optional(found->second);
  }

private:
  /** One slow call moves the time by a sixteenth of the difference. */
  static constexpr int kSamples = 16;

  std::unordered_map<ServiceName, Duration> mTimes;
};

} // namespace peridotspool::gateway
