#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <compare>
#include <cstdint>
#include <string>

namespace peridotspool::rollout {

using RolloutId = NumberId<struct RolloutIdTag>;

enum class RolloutState
{
  kRunning,
  kCompleted,
  kRolledBack,
};
BOOST_DESCRIBE_ENUM(RolloutState, kRunning, kCompleted, kRolledBack)

/** An operator's order to move a service's traffic to another version. */
struct RolloutOrder
{
  ServiceName mService;
  VersionName mTo;
  /** Time within which the rollout must be completed or rolled back. */
  Duration mDuration{ 0 };
  /** When the order was given, in microseconds since 1970. */
  std::int64_t mOrderedMicros = 0;

  auto operator<=>(const RolloutOrder&) const = default;
};
BOOST_DESCRIBE_STRUCT(RolloutOrder,
                      (),
                      (mService, mTo, mDuration, mOrderedMicros))

/** A rollout as recorded in the control log. */
struct Rollout
{
  RolloutId mId;
  RolloutOrder mOrder;
  RolloutState mState = RolloutState::kRunning;
  /** When the rollout ended, in microseconds since 1970, and why. */
  std::int64_t mEndedMicros = 0;
  std::string mReason;
  /**
   * Maximum number of requests that leaders may have granted to the new version
   * so far.
   */
  std::uint64_t mReserved = 0;
  /**
   * The new version's share of traffic that a leader has approved, in
   * thousandths.
   */
  std::uint32_t mShare = 0;

  bool IsRunning() const { return mState == RolloutState::kRunning; }
  auto operator<=>(const Rollout&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  Rollout,
  (),
  (mId, mOrder, mState, mEndedMicros, mReason, mReserved, mShare))

/** Result of an order. */
enum class OrderVerdict
{
  kStarted,
  /** The same order has been accepted before; nothing was changed. */
  kRepeated,
  /** Another version is being rolled out for the service. */
  kBusy,
  /** The service runs that version already. */
  kInForce,
};
BOOST_DESCRIBE_ENUM(OrderVerdict, kStarted, kRepeated, kBusy, kInForce)

/** Ends a rollout, on behalf of the leader or of an operator who aborts it. */
struct RolloutEnd
{
  RolloutId mId;
  RolloutState mState = RolloutState::kRolledBack;
  std::int64_t mEndedMicros = 0;
  std::string mReason;

  auto operator<=>(const RolloutEnd&) const = default;
};
BOOST_DESCRIBE_STRUCT(RolloutEnd, (), (mId, mState, mEndedMicros, mReason))

/** Advances a rollout; values below the current ones have no effect. */
struct RolloutAdvance
{
  RolloutId mId;
  std::uint64_t mReserved = 0;
  std::uint32_t mShare = 0;

  auto operator<=>(const RolloutAdvance&) const = default;
};
BOOST_DESCRIBE_STRUCT(RolloutAdvance, (), (mId, mReserved, mShare))

} // namespace peridotspool::rollout
