#pragma once

#include <algorithm>
#include <cstdint>

namespace peridotspool::routing {

/** Bounds of the retries of a service. */
struct RetryBudgetOptions
{
  /** Retries per first attempt, from 0 to 1. */
  double mShare = 0.1;
  /** Maximum retries that accumulate; also the budget at the start. */
  double mBurst = 10;
};

/**
 * Bounds the retries of one service to a share of its first attempts. In a
 * brown-out, where every attempt fails, retries add at most that share to the
 * load.
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

  /** Consumes one retry; returns false iff the budget is exhausted. */
  bool TakeRetry()
  {
    if (mTokens < 1) {
      return false;
    }
    mTokens -= 1;
    return true;
  }

  void SetShare(double aShare) { mOptions.mShare = aShare; }

private:
  RetryBudgetOptions mOptions;
  double mTokens;
};

} // namespace peridotspool::routing
