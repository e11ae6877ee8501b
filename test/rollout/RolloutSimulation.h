#pragma once

#include "peridotspool/rollout/RolloutController.h"
#include "peridotspool/rollout/RolloutGate.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotspool::rollout {

/** How a version that is rolled out differs from a sound one. */
struct VersionFault
{
  /** Shares of its answers that fail, or that are slowed down. */
  double mFails = 0.0;
  double mSlows = 0.0;
  double mSlowTimes = 4.0;
  /** The fault begins at this time after the order. */
  int mFromMs = 0;
  /**
   * The fault shows only at upstreams that have at least this many other
   * requests running.
   */
  int mAboveLoad = 0;
  /** The fault shows only on the rarest route. */
  bool mRareRouteOnly = false;

  bool IsBad() const { return mFails > 0.0 || mSlows > 0.0; }
};

struct RolloutSimulationOptions
{
  unsigned mSeed = 1;
  int mEntries = 9;
  int mUpstreamsEach = 20;
  int mRequestsPerSecond = 150;
  int mDurationMs = 12000;
  /** Mean time of an answer of the old version. */
  double mMeanMs = 120.0;
  VersionFault mFault;
  /** Share of all upstreams, old and new, that fail answers at random. */
  double mGrayFailureShare = 0.0;
  /** Share of messages between entries and the leader that are lost. */
  double mMessageLoss = 0.0;
  /**
   * The leader is killed at this time, and a new one leads 1.2 s later; 0 for
   * never.
   */
  int mLeaderKilledMs = 0;
  /** The leader is killed after this many bad answers; 0 for never. */
  std::uint64_t mLeaderKilledAtBad = 0;
  /**
   * Mean time between disruptions of each entry; it is frozen or partitioned
   * for a second. 0 for never.
   */
  int mDisruptionPeriodMs = 0;
};

struct RolloutSimulationOutcome
{
  RolloutState mState = RolloutState::kRunning;
  int mEndedMs = 0;
  std::string mReason;
  /** Requests between the order and the end of its duration. */
  std::uint64_t mRequests = 0;
  std::uint64_t mNew = 0;
  std::uint64_t mBadAnswers = 0;
  /** Requests to the new version later than 5 s after its 50th bad answer. */
  std::uint64_t mLate = 0;
  /** Requests running at the old version when the rollout was completed. */
  std::uint64_t mInterrupted = 0;
  /** True if mNew exceeds the bound on exposure. */
  bool mOverExposed = false;
};

/** Simulates one rollout without a network. */
RolloutSimulationOutcome
SimulateRollout(const RolloutSimulationOptions& aOptions);

} // namespace peridotspool::rollout
