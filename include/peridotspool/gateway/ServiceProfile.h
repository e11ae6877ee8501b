#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

namespace peridotspool::gateway {

/** How many upstreams of a service may be ordered, and what they cost. */
struct ScalingProfile
{
  /** Bounds for each failure domain, reclaimable and lasting ones together. */
  std::uint32_t mMin = 0;
  std::uint32_t mMax = 0;
  /** From the order to the first request served. */
  Duration mBootTime{ 0 };
  /** A reclaimable upstream's price as a part of a lasting one's. */
  double mReclaimablePriceRatio = 1.0;
  /** The price of one second of a lasting upstream. */
  std::map<FailureDomain, double> mPrices;

  auto operator<=>(const ScalingProfile&) const = default;
};

/** What is known of a model engine's kind. */
struct EngineProfile
{
  std::uint32_t mSlots = 1;
  /** Tokens of running requests and cached prefixes together. */
  std::uint64_t mMemoryTokens = 0;

  auto operator<=>(const EngineProfile&) const = default;
};

struct ServiceProfile
{
  ServiceName mName;
  /** Connections that one upstream takes from all entries together. */
  std::uint32_t mMaxConnections = 0;
  std::optional<EngineProfile> mEngine;
  std::optional<ScalingProfile> mScaling;

  auto operator<=>(const ServiceProfile&) const = default;
};

} // namespace peridotspool::gateway
