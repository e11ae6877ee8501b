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

/** Names one life of a registry; its versions mean nothing in another one. */
using RegistryIncarnation = NumberId<struct RegistryIncarnationTag>;

/** How late a heartbeat may come after the goodbye that it was sent before. */
constexpr Duration kLateHeartbeatWindow = std::chrono::seconds(1);

/** One upstream in a registry. */
struct RegistryRow
{
  UpstreamReport mReport;
  /** The registry has not heard from it lately; it may speak to another. */
  bool mSilent = false;
  /** How long the registry had known the incarnation when it sent this. */
  std::uint64_t mIncarnationAgeMs = 0;
  /** Age of the last goodbye that named no incarnation. */
  std::optional<std::uint64_t> mDeregistrationAgeMs;

  auto operator<=>(const RegistryRow&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  RegistryRow,
  (),
  (mReport, mSilent, mIncarnationAgeMs, mDeregistrationAgeMs))

/** Says what a subscriber has of a registry, and keeps its subscription. */
struct RegistryPull
{
  RegistryIncarnation mRegistryIncarnation;
  std::uint64_t mVersion = 0;

  auto operator<=>(const RegistryPull&) const = default;
};
BOOST_DESCRIBE_STRUCT(RegistryPull, (), (mRegistryIncarnation, mVersion))

/** The rows that changed after mFrom up to mTo; from 0 it is all of them. */
struct RegistryPush
{
  RegistryIncarnation mRegistryIncarnation;
  std::uint64_t mFrom = 0;
  std::uint64_t mTo = 0;
  std::vector<RegistryRow> mRows;

  auto operator<=>(const RegistryPush&) const = default;
};
BOOST_DESCRIBE_STRUCT(RegistryPush,
                      (),
                      (mRegistryIncarnation, mFrom, mTo, mRows))

using RegistryMessage = std::variant<RegistryPull, RegistryPush>;

} // namespace peridotspool::membership
