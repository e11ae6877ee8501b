#include "peridotspool/gateway/ProvisionalSends.h"

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** The time that an entry waits for responses to its query; by then it has
 * sent, and its report is on its way. */
constexpr Duration kLifetime = std::chrono::milliseconds(50);
/** Bounds the memory that queries of other processes can allocate here. */
constexpr std::size_t kMaxEntries = 64;

} // namespace

void
ProvisionalSends::Add(double aProbability, TimePoint aNow)
{
  while (!mEntries.empty() && (mEntries.size() >= kMaxEntries ||
                               aNow - mEntries.front().mAddedAt >= kLifetime)) {
    mEntries.pop_front();
  }
  mEntries.push_back({ .mProbability = aProbability, .mAddedAt = aNow });
}

void
ProvisionalSends::RecordSend()
{
  double left = 1.0;
  while (!mEntries.empty() && left > 0.0) {
    Entry& oldest = mEntries.front();
    const double taken = std::min(left, oldest.mProbability);
    oldest.mProbability -= taken;
    left -= taken;
    if (oldest.mProbability > 0.0) {
      return;
    }
    mEntries.pop_front();
  }
}

double
ProvisionalSends::Expected(TimePoint aNow) const
{
  double expected = 0.0;
  for (const Entry& entry : mEntries) {
    expected += aNow - entry.mAddedAt < kLifetime ? entry.mProbability : 0.0;
  }
  return expected;
}

} // namespace peridotspool::gateway
