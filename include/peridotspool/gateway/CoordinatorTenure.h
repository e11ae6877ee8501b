#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/CoordinatorMap.h"

#include <deque>
#include <optional>

namespace peridotspool::gateway {

/**
 * Whether this entry is the only coordinator of an upstream that may grant
 * permits for it. It is, if the control leader has confirmed within
 * kCoordinatorLease that this entry knew the newest epoch, and if all epochs of
 * the last kTakeoverDelay name it as the coordinator: an earlier coordinator
 * can't have been confirmed since the epoch that replaced it was committed.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class CoordinatorTenure
{
public:
  /** Sets the address of this entry, which identifies it among coordinators. */
  void SetSelf(Address aSelf) { mSelf = std::move(aSelf); }
  const Address& Self() const { return mSelf; }
  /** Applies the coordinators of a newer epoch. */
  void ApplyEpoch(EpochNumber aEpoch, CoordinatorMap aMap, TimePoint aNow);
  /**
   * Records when the last heartbeat was sent for which the leader confirmed
   * that this entry knew the newest epoch; empty if there is none.
   */
  void SetConfirmedAt(std::optional<TimePoint> aConfirmedAt)
  {
    mConfirmedAt = aConfirmedAt;
  }
  /** Returns what SetConfirmedAt has recorded. */
  std::optional<TimePoint> ConfirmedAt() const { return mConfirmedAt; }
  bool Covers(const UpstreamName& aUpstream,
              const FailureDomain& aDomain,
              TimePoint aNow) const;

private:
  struct Period
  {
    CoordinatorMap mMap;
    TimePoint mSince;
  };

  Address mSelf;
  EpochNumber mEpoch;
  std::optional<TimePoint> mConfirmedAt;
  /** The epochs of the last kTakeoverDelay; the newest is last. */
  std::deque<Period> mPeriods;
};

} // namespace peridotspool::gateway
