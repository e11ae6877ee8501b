#pragma once

#include "peridotspool/base/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotspool::bench {

/** One runner of the modelled fleet. */
struct RunnerSpec
{
  double mPrice = 1;
  /** 1 is the plain class; 1.3 computes 1.3 times as fast. */
  double mSpeed = 1;
  std::uint32_t mDomain = 0;
};

enum class PolicyKind
{
  kRoundRobin,
  kLeastReported,
  kPowerOfTwo,
  /** As above, and gives nothing new to a runner that says it leaves. */
  kPowerOfTwoHeeding,
  kRouter,
};

/** A wave that takes all runners of a failure domain. */
struct ReclaimWave
{
  double mAtSecond = 0;
  double mNoticeSeconds = 0;
  std::uint32_t mDomain = 0;
};

/** One run of the model: entries that choose runners from lagged reports. */
struct ModelOptions
{
  std::uint32_t mEntries = 10;
  std::vector<RunnerSpec> mRunners;
  double mArrivalsPerSecond = 40;
  double mSeconds = 120;
  /** Figures of the first seconds are left out. */
  double mWarmupSeconds = 20;
  double mLatencyWeight = 1;
  double mCostWeight = 1;
  double mTargetSeconds = 0.44;
  double mReportEvery = 0.5;
  double mReportLagMost = 0.2;
  /** Prompts share their first 70% within a group. */
  std::uint32_t mGroups = 40;
  /** Groups that one runner's cache holds. */
  std::uint32_t mCachedGroups = 8;
  bool mWave = false;
  ReclaimWave mReclaim;
  std::uint64_t mSeed = 1;
};

/** What one run measured. */
struct ModelResult
{
  double mFirstTokenP95 = 0;
  double mFirstTokenMean = 0;
  /** Price of the slot time that was used. */
  double mUsedCost = 0;
  /** Tokens that were computed for requests that were then lost. */
  double mRecomputedTokens = 0;
  double mCacheHits = 0;
  std::uint64_t mRequests = 0;
  std::uint64_t mRefused = 0;
};

/** Runs the model once; the same options give the same result. */
ModelResult
RunModel(PolicyKind aPolicy, const ModelOptions& aOptions);

std::string
NameOf(PolicyKind aPolicy);

/** Runs all comparisons and returns them as a table and as JSON. */
struct PolicyReport
{
  std::string mTable;
  std::string mJson;
};
PolicyReport
ComparePolicies();

} // namespace peridotspool::bench
