#pragma once

#include "control/EntrySessions.h"
#include "peridotspool/membership/EpochMap.h"

#include <map>
#include <optional>
#include <set>

namespace peridotspool::control {

/**
 * Finds members that reach the control replicas but not their peers. Reports by
 * a single entry or a single failure domain never suffice.
 */
class SuspectTracker
{
public:
  explicit SuspectTracker(Duration aTimeout);

  /** Updates the suspects from the members' current reports. */
  void Update(const EntrySessions& aSessions,
              const membership::EpochMap& aMembers,
              TimePoint aNow);
  /**
   * Returns the member that the most others have reported unreachable for the
   * timeout. Only one at a time: once it is removed, the reports of the rest
   * may change.
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
