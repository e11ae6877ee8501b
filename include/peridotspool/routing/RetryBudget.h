#pragma once

#include <algorithm>
#include <cstdint>

namespace peridotspool::routing {

/** How many retries a service may make for its first tries. */
struct RetryBudgetOptions
{
  /** Retries for each first try, 0 to 1. */
  double mShare = 0.1;
  /** Retries that may be saved up; also what a new budget starts with. */
  double mBurst = 10;
};

/**
 * Bounds the retries of one service as a share of its first tries, so that a
 * brown-out, where every try fails, adds at most that share to the load.
 */
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetOptions aOptions)
    : mOptions(aOptions)
    , mTokens(aOptions.mBurst)
  {
  }

  void CountFirstAttempt()
  {
    mTokens = std::min(mOptions.mBurst, mTokens + mOptions.mShare);
  }

  /** Takes one retry; returns false iff the budget is spent. */
  bool TakeRetry()
  {
    if (mTokens < 1) {
      return false;
    }
    mTokens -= 1;
    return true;
  }

  /** Changes the share when the settings do. */
  void SetShare(double aShare) { mOptions.mShare = aShare; }

private:
  RetryBudgetOptions mOptions;
  double mTokens;
};

} // namespace peridotspool::routing
