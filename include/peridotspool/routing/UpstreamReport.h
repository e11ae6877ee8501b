#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotspool::routing {

enum class UpstreamKind
{
  kModelEngine,
  kPlainService,
};
BOOST_DESCRIBE_ENUM(UpstreamKind, kModelEngine, kPlainService)

enum class UpstreamState
{
  kServing,
  /** Finishes its running requests and must get no new ones. */
  kLeaving,
};
BOOST_DESCRIBE_ENUM(UpstreamState, kServing, kLeaving)

/**
 * The state that an upstream announces when it registers or renews its lease.
 */
struct UpstreamAnnouncement
{
  UpstreamName mName;
  /** Increases with each restart of the upstream's process. */
  Incarnation mIncarnation;
  /** Increases with each announcement of one incarnation. */
  std::uint64_t mSequence = 0;
  ServiceName mService;
  UpstreamKind mKind = UpstreamKind::kModelEngine;
  UpstreamState mState = UpstreamState::kServing;
  FailureDomain mDomain;
  Address mAddress;
  /** Requests that it runs concurrently; further ones wait inside it. */
  std::uint32_t mSlots = 1;
  /** Price in millionths of a currency unit per hour. */
  std::uint64_t mPriceMicrosPerHour = 0;
  bool mReclaimable = false;
  /** True iff its engine rejects orders with an outdated fencing number. */
  bool mChecksFencing = false;
  /** Load at the time of the announcement. */
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  /** Measured time to the first token, without waiting, and between tokens. */
  Duration mFirstToken{ 0 };
  Duration mTokenGap{ 0 };
  std::vector<std::string> mModels;
  /**
   * How long this announcement is valid without renewal. An entry that forwards
   * it subtracts the time for which it held the announcement.
   */
  Duration mLease{ 0 };
  /**
   * Age of the load. An entry that forwards the announcement adds the time for
   * which it held it.
   */
  Duration mLoadAge{ 0 };
  /** Version of its software; unset if not reported. */
  VersionName mVersion;

  auto operator<=>(const UpstreamAnnouncement&) const = default;
};
BOOST_DESCRIBE_STRUCT(UpstreamAnnouncement,
                      (),
                      (mName,
                       mIncarnation,
                       mSequence,
                       mService,
                       mKind,
                       mState,
                       mDomain,
                       mAddress,
                       mSlots,
                       mPriceMicrosPerHour,
                       mReclaimable,
                       mChecksFencing,
                       mRunning,
                       mWaiting,
                       mFirstToken,
                       mTokenGap,
                       mModels,
                       mLease,
                       mLoadAge,
                       mVersion))

} // namespace peridotspool::routing
