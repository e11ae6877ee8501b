#include "peridotspool/gateway/ArrivedWork.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace peridotspool::gateway {

namespace {

/** As long as the longest objective for a first event; what arrives within it
 * decides who is on time. */
constexpr double kHalfLifeSeconds = 2.0;
constexpr double kWindowSeconds = kHalfLifeSeconds / std::numbers::ln2;
/** Bounds the memory that messages of other processes can allocate here. */
constexpr std::size_t kMaxTurns = 32;

double
DecayFactor(TimePoint aFrom, TimePoint aTo)
{
  const double seconds =
    std::max(0.0, std::chrono::duration<double>(aTo - aFrom).count());
  return std::exp2(-seconds / kHalfLifeSeconds);
}

} // namespace

void
ArrivedWork::Add(std::uint32_t aTurn, Duration aPrefillTime, TimePoint aNow)
{
  const double factor = DecayFactor(mDecayedAt, aNow);
  mDecayedAt = std::max(mDecayedAt, aNow);
  for (auto& [turn, seconds] : mSeconds) {
    seconds *= factor;
  }
  if (mSeconds.contains(aTurn) || mSeconds.size() < kMaxTurns) {
    mSeconds[aTurn] += std::chrono::duration<double>(aPrefillTime).count();
  }
}

double
ArrivedWork::FractionBefore(std::uint32_t aTurn, TimePoint aNow) const
{
  double seconds = 0.0;
  for (auto turn = mSeconds.begin();
       turn != mSeconds.end() && turn->first < aTurn;
       ++turn) {
    seconds += turn->second;
  }
  return std::min(1.0,
                  seconds * DecayFactor(mDecayedAt, aNow) / kWindowSeconds);
}

} // namespace peridotspool::gateway
