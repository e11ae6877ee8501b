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
  /** Share of its answers that are failures, or come slower. */
  double mFails = 0.0;
  double mSlows = 0.0;
  double mSlowTimes = 4.0;
  /** Only from then on, counted from the order. */
  int mFromMs = 0;
  /** Only while one of its upstreams has more than so many at once. */
  int mAboveLoad = 0;
  /** Only on the rarest route. */
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
  /** Of an answer of the old version. */
  double mMeanMs = 120.0;
  VersionFault mFault;
  /** Part of all upstreams, old and new, that fail answers at random. */
  double mGrayFailureShare = 0.0;
  /** Messages lost between entries and the leader. */
  double mMessageLoss = 0.0;
  /** The leader is killed then, and a new one leads 1.2 s later; 0: never. */
  int mLeaderKilledMs = 0;
  /** Or after so many bad answers. */
  std::uint64_t mLeaderKilledAtBad = 0;
  /** Each entry is frozen or cut off for a second about this often; 0: never.
   */
  int mDisruptionPeriodMs = 0;
};

struct RolloutSimulationOutcome
{
  RolloutState mState = RolloutState::kRunning;
  int mEndedMs = 0;
  std::string mReason;
  /** From the order to its duration. */
  std::uint64_t mRequests = 0;
  std::uint64_t mNew = 0;
  std::uint64_t mBadAnswers = 0;
  /** To the new version, later than 5 s after its 50th bad answer. */
  std::uint64_t mLate = 0;
  /** Running at the old version when the rollout was completed. */
  std::uint64_t mInterrupted = 0;
  /** Allowed by the bound on exposure. */
  bool mOverExposed = false;
};

/** Plays one rollout without a network. */
RolloutSimulationOutcome
SimulateRollout(const RolloutSimulationOptions& aOptions);

} // namespace peridotspool::rollout
