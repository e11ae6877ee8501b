#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/membership/UpstreamReport.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridotspool::membership {

/**
 * Identifies one incarnation of a registry process. Versions of different
 * incarnations can't be compared.
 */
using RegistryIncarnation = NumberId<struct RegistryIncarnationTag>;

/**
 * A heartbeat that was sent before a deregistration arrives at most this long
 * after it.
 */
constexpr Duration kLateHeartbeatWindow = std::chrono::seconds(1);

/** The state of one upstream in a registry. */
struct RegistryRow
{
  UpstreamReport mReport;
  /**
   * The registry has not received a recent heartbeat. The upstream may be
   * sending heartbeats to another registry.
   */
  bool mSilent = false;
  /** Time since the registry received the first report of the incarnation. */
  std::uint64_t mIncarnationAgeMs = 0;
  /** Age of the last deregistration that specified no incarnation. */
  std::optional<std::uint64_t> mDeregistrationAgeMs;

  auto operator<=>(const RegistryRow&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  RegistryRow,
  (),
  (mReport, mSilent, mIncarnationAgeMs, mDeregistrationAgeMs))

/** Reports a subscriber's version of a registry and renews its subscription. */
struct RegistryPull
{
  RegistryIncarnation mRegistryIncarnation;
  std::uint64_t mVersion = 0;
  /** RegistryPush::mSentAt of the last push received. */
  std::int64_t mLastSentAt = 0;
  /**
   * The subscriber is a control replica that asks now and then, rather than to
   * confirm a push: it gets a push in any case, and so hears that the registry
   * lives. Pushes to it wait less for each other.
   */
  bool mFromReplica = false;

  auto operator<=>(const RegistryPull&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  RegistryPull,
  (),
  (mRegistryIncarnation, mVersion, mLastSentAt, mFromReplica))

/**
 * The rows that changed after version mFrom, up to version mTo. If mFrom is 0,
 * these are all rows.
 */
struct RegistryPush
{
  RegistryIncarnation mRegistryIncarnation;
  std::uint64_t mFrom = 0;
  std::uint64_t mTo = 0;
  std::vector<RegistryRow> mRows;
  /** By the registry's monotonic clock, in microseconds; echoed in pulls. */
  std::int64_t mSentAt = 0;

  auto operator<=>(const RegistryPush&) const = default;
};
BOOST_DESCRIBE_STRUCT(RegistryPush,
                      (),
                      (mRegistryIncarnation, mFrom, mTo, mRows, mSentAt))

using RegistryMessage = std::variant<RegistryPull, RegistryPush>;

} // namespace peridotspool::membership
