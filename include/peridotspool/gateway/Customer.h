#pragma once

#include "peridotspool/base/Ids.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotspool::gateway {

/** What a customer's limit counts. */
enum class QuotaUnit
{
  kRequests,
  kTokens,
};

struct Customer
{
  CustomerName mName;
  std::vector<std::string> mKeys;
  /** Goes before a route's priority. */
  std::optional<std::uint32_t> mPriority;
  QuotaUnit mUnit = QuotaUnit::kRequests;
  /** What a request without a token count counts, in tokens. */
  double mDefaultTokens = 1.0;
  /** For all entries together; 0 for no limit. */
  double mRatePerSecond = 0.0;
  double mBurst = 0.0;

  auto operator<=>(const Customer&) const = default;
};

} // namespace peridotspool::gateway
