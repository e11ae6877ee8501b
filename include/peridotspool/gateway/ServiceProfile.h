#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

namespace peridotspool::gateway {

/** How many upstreams of a service may be ordered, and their prices. */
struct ScalingProfile
{
  /** Bounds per failure domain, for reclaimable and on-demand upstreams
   * together. */
  std::uint32_t mMin = 0;
  std::uint32_t mMax = 0;
  /** The time from the order to the first request served. */
  Duration mBootTime{ 0 };
  /** A reclaimable upstream's price divided by an on-demand one's. */
  double mReclaimablePriceRatio = 1.0;
  /** The price of an on-demand upstream per second. */
  std::map<FailureDomain, double> mPrices;

  auto operator<=>(const ScalingProfile&) const = default;
};

/** The capacity of one kind of model engine. */
struct EngineProfile
{
  std::uint32_t mSlots = 1;
  /** Tokens that running requests and cached prefixes may occupy together. */
  std::uint64_t mMemoryTokens = 0;

  auto operator<=>(const EngineProfile&) const = default;
};

struct ServiceProfile
{
  ServiceName mName;
  /** Connections that one upstream accepts from all entries together. */
  std::uint32_t mMaxConnections = 0;
  std::optional<EngineProfile> mEngine;
  std::optional<ScalingProfile> mScaling;

  auto operator<=>(const ServiceProfile&) const = default;
};

} // namespace peridotspool::gateway
