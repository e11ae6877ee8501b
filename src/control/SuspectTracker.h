#pragma once

#include "control/EntrySessions.h"
#include "peridotspool/membership/EpochMap.h"

#include <map>
#include <optional>
#include <set>

namespace peridotspool::control {

/**
 * Finds members that reach the control replicas, but not their peers. What a
 * single entry, or a single failure domain, says of another is never enough.
 */
class SuspectTracker
{
public:
  explicit SuspectTracker(Duration aTimeout);

  /** Takes what the members report now. */
  void Update(const EntrySessions& aSessions,
              const membership::EpochMap& aMembers,
              TimePoint aNow);
  /**
   * Returns the one member that most others have missed for the timeout. One
   * at a time: once it is gone, the reports of the rest may look different.
   */
  std::optional<MemberId> Worst() const { return mWorst; }

private:
  struct Suspect
  {
    std::size_t mReporters = 0;
    std::set<FailureDomain> mDomains;
  };

  Duration mTimeout;
  std::map<MemberId, TimePoint> mSince;
  std::optional<MemberId> mWorst;
};

} // namespace peridotspool::control
