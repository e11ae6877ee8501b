#include "peridotspool/routing/WorkSpeed.h"

#include <algorithm>
#include <cmath>

namespace peridotspool::routing {

namespace {

/** Beyond these, a ratio says more of a fault or a queue than of a machine. */
constexpr double kMinRatio = 0.5;
constexpr double kMaxRatio = 4.0;
/** A spell lasts about 600 ms; the estimate has to turn well within it. */
constexpr double kSpellSeconds = 0.2;
/** Long enough for an engine that prefills a few prompts per second. */
constexpr double kMachineSeconds = 8.0;
/**
 * A slow upstream may get no work at all, and nothing would show that it has
 * become fast. After this time without an observation the machine's speed is
 * taken to return to the usual one, so that the upstream is tried again.
 */
constexpr Duration kIdleTime = std::chrono::seconds(5);
constexpr double kForgetSeconds = 4.0;
/**
 * Observations that count as much as what is assumed without any: the
 * machine's speed for a spell, the usual speed for a machine.
 */
constexpr double kSpellPriorWeight = 0.7;
constexpr double kMachinePriorWeight = 1.5;
/**
 * Squared error of the logarithm that both predictions are assumed to have at
 * first: a tenth of the time.
 */
constexpr double kPriorError = 0.01;
constexpr double kErrorPriorWeight = 2.0;
/** By then a spell of 600 ms has ended. */
constexpr Duration kPause = std::chrono::milliseconds(600);
/** A statement about a spell of 600 ms is worth nothing once it is as old. */
constexpr Duration kStatedLifetime = std::chrono::milliseconds(600);

double
LogOf(double aRatio)
{
  return std::log(std::clamp(aRatio, kMinRatio, kMaxRatio));
}

double
Decay(Duration aSince, double aSeconds)
{
  return std::exp(
    -std::max(0.0, std::chrono::duration<double>(aSince).count()) / aSeconds);
}

} // namespace

void
WorkSpeed::Average::Add(double aValue, double aDecay)
{
  mSum = mSum * aDecay + aValue;
  mWeight = mWeight * aDecay + 1.0;
}

double
WorkSpeed::Average::Value(double aDecay,
                          double aPrior,
                          double aPriorWeight) const
{
  return (mSum * aDecay + aPrior * aPriorWeight) /
         (mWeight * aDecay + aPriorWeight);
}

// One slow answer may be due to waiting or preemption, so an observation counts
// once another one agrees: the median of the last three is averaged.
double
WorkSpeed::MedianOfLatest() const
{
  if (mCount == 1) {
    return std::min(mLatest[0], 0.0);
  }
  if (mCount == 2) {
    return std::min(mLatest[0], mLatest[1]);
  }
  const auto [low, high] = std::minmax({ mLatest[0], mLatest[1] });
  return std::clamp(mLatest[2], low, high);
}

double
WorkSpeed::MachineLog(TimePoint aNow) const
{
  const Duration since = aNow - mUpdatedAt;
  return mMachine.Value(
           Decay(since, kMachineSeconds), 0.0, kMachinePriorWeight) *
         Decay(since - kIdleTime, kForgetSeconds);
}

double
WorkSpeed::OwnLog(TimePoint aNow) const
{
  return mSpell.Value(Decay(aNow - mUpdatedAt, kSpellSeconds),
                      MachineLog(aNow),
                      kSpellPriorWeight);
}

void
WorkSpeed::LearnStated(double aObserved, double aStated, TimePoint aNow)
{
  const double decay = Decay(aNow - mUpdatedAt, kMachineSeconds);
  const double own = aObserved - OwnLog(aNow);
  const double bias = mStatedBias.Value(decay, 0.0, kMachinePriorWeight);
  const double stated = aObserved - aStated - bias;
  mOwnError.Add(own * own, decay);
  mStatedError.Add(stated * stated, decay);
  mStatedBias.Add(aObserved - aStated, decay);
}

void
WorkSpeed::Add(double aRatio, std::optional<double> aStated, TimePoint aNow)
{
  if (mCount > 0 && aNow - mUpdatedAt >= kPause) {
    // Older observations are about another spell. Starting from the last one, a
    // faster one is believed at once, as waiting makes no work faster.
    mLatest[0] = mLatest[(mCount - 1) % mLatest.size()];
    mCount = 1;
  }
  mLatest[mCount % mLatest.size()] = LogOf(aRatio);
  ++mCount;
  const double observed = MedianOfLatest();
  if (aStated) {
    LearnStated(observed, LogOf(*aStated), aNow);
  }
  const Duration since = aNow - mUpdatedAt;
  mSpell.Add(observed, Decay(since, kSpellSeconds));
  mMachine.Add(observed, Decay(since, kMachineSeconds));
  mUpdatedAt = aNow;
}

double
WorkSpeed::Ratio(std::optional<double> aStated,
                 Duration aAge,
                 TimePoint aNow) const
{
  double log = OwnLog(aNow);
  if (aStated && aAge < kStatedLifetime) {
    const double decay = Decay(aNow - mUpdatedAt, kMachineSeconds);
    const double own = mOwnError.Value(decay, kPriorError, kErrorPriorWeight);
    const double stated =
      mStatedError.Value(decay, kPriorError, kErrorPriorWeight);
    const double weight =
      (1.0 - std::chrono::duration<double>(aAge) / kStatedLifetime) * own /
      (own + stated);
    const double corrected =
      LogOf(*aStated) + mStatedBias.Value(decay, 0.0, kMachinePriorWeight);
    log += weight * (corrected - log);
  }
  return std::clamp(std::exp(log), kMinRatio, kMaxRatio);
}

} // namespace peridotspool::routing
