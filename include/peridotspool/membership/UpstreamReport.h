#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <compare>
#include <cstdint>

namespace peridotspool::membership {

/** Lifecycle stage of an upstream process; it only advances. */
enum class UpstreamStage
{
  kReady,
  /** Finishes its current requests and accepts no new ones. */
  kDraining,
  /** Deregistered; this stage is final for the incarnation. */
  kGone,
};
BOOST_DESCRIBE_ENUM(UpstreamStage, kReady, kDraining, kGone)

/** What an upstream reports about itself in a heartbeat. */
struct UpstreamReport
{
  UpstreamName mName;
  /**
   * Incarnation of the upstream's process, which may restart under the same
   * name without any earlier state; 0 if not reported.
   */
  Incarnation mIncarnation;
  ServiceName mService;
  Address mAddress;
  FailureDomain mDomain;
  /** Maximum number of concurrent requests. */
  std::uint32_t mSlots = 1;
  UpstreamStage mStage = UpstreamStage::kReady;
  /**
   * Increases with each heartbeat of an incarnation, so that a delayed
   * heartbeat can be recognised.
   */
  std::uint64_t mSequence = 0;
  /** Remaining time for which the upstream is slow after its start. */
  Duration mColdFor{ 0 };
  bool mReclaimable = false;
  /** Version of the upstream's software; unset if not reported. */
  VersionName mVersion;

  auto operator<=>(const UpstreamReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(UpstreamReport,
                      (),
                      (mName,
                       mService,
                       mAddress,
                       mDomain,
                       mSlots,
                       mStage,
                       mSequence,
                       mColdFor,
                       mReclaimable,
                       mIncarnation,
                       mVersion))

} // namespace peridotspool::membership
