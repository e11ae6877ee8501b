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
  /** Finishes what it has and must get no new work. */
  kLeaving,
};
BOOST_DESCRIBE_ENUM(UpstreamState, kServing, kLeaving)

/** What an upstream says of itself when it announces or renews its lease. */
struct UpstreamAnnouncement
{
  UpstreamName mName;
  /** Rises with each life of the upstream's process. */
  Incarnation mIncarnation;
  /** Rises with each announcement of one life. */
  std::uint64_t mSequence = 0;
  ServiceName mService;
  UpstreamKind mKind = UpstreamKind::kModelEngine;
  UpstreamState mState = UpstreamState::kServing;
  FailureDomain mDomain;
  Address mAddress;
  /** Requests that it runs at once; beyond this they wait inside it. */
  std::uint32_t mSlots = 1;
  /** Price in millionths of a currency unit an hour. */
  std::uint64_t mPriceMicrosPerHour = 0;
  bool mReclaimable = false;
  /** True iff its engine refuses an order with an old fencing number. */
  bool mChecksFencing = false;
  /** Load as of the moment of the announcement. */
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  /** Measured time to first token, without waiting, and between tokens. */
  Duration mFirstToken{ 0 };
  Duration mTokenGap{ 0 };
  std::vector<std::string> mModels;
  /**
   * How long this announcement holds without renewal. Whoever passes it on
   * takes off how long it held it.
   */
  Duration mLease{ 0 };
  /** How old the load is; whoever passes it on adds how long it held it. */
  Duration mLoadAge{ 0 };

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
                       mLoadAge))

} // namespace peridotspool::routing
