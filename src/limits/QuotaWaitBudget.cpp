#include "peridotspool/limits/QuotaWaitBudget.h"

#include "peridotspool/limits/QuotaWait.h"

#include <algorithm>

namespace peridotspool::limits {

namespace {

/** Shorter waits aren't asked for: a commit of the customer's floor, which a
 * request at the limit may need, takes about as long. */
constexpr Duration kMinWait = std::chrono::milliseconds(50);

} // namespace

std::uint32_t
MaxQuotaWaitMs(const QuotaWaitBudget& aBudget)
{
  const Duration expected =
    aBudget.mExpectedTime.value_or(aBudget.mObjective / 2);
  Duration wait = aBudget.mTimeLeft - expected;
  if (aBudget.mObjective > Duration(0)) {
    wait = std::min(wait, aBudget.mObjective - aBudget.mElapsed - expected);
  }
  wait = std::min(wait - kQuotaTransitAllowance, aBudget.mMaxWait);
  if (wait < kMinWait) {
    return 0;
  }
  return static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
}

} // namespace peridotspool::limits
