#pragma once

#include "peridotspool/base/Ids.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotspool::gateway {

/** The unit in which a customer's limit is counted. */
enum class QuotaUnit
{
  kRequests,
  kTokens,
};

struct Customer
{
  CustomerName mName;
  std::vector<std::string> mKeys;
  /** Overrides the route's priority. */
  std::optional<std::uint32_t> mPriority;
  QuotaUnit mUnit = QuotaUnit::kRequests;
  /** Tokens charged for a request that carries no token count. */
  double mDefaultTokens = 1.0;
  /** The limit for all entries together; 0 means unlimited. */
  double mRatePerSecond = 0.0;
  double mBurst = 0.0;

  auto operator<=>(const Customer&) const = default;
};

} // namespace peridotspool::gateway
