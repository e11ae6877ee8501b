#include "PolicyModel.h"

#include <array>
#include <cstdio>

namespace peridotspool::bench {

namespace {

constexpr std::array<PolicyKind, 5> kPolicies{ PolicyKind::kRoundRobin,
                                               PolicyKind::kLeastReported,
                                               PolicyKind::kPowerOfTwo,
                                               PolicyKind::kPowerOfTwoHeeding,
                                               PolicyKind::kRouter };
/** Not the seeds that the router's constants were chosen with. */
constexpr std::uint64_t kFirstSeed = 101;
constexpr std::uint64_t kSeeds = 5;
constexpr std::uint32_t kRunnersToday = 20;
constexpr std::uint32_t kFewestRunners = 12;
constexpr std::uint32_t kMostRunners = 40;

/** One customer's system at today's size. */
struct Site
{
  const char* mName;
  double mLatencyWeight;
  double mCostWeight;
  double mTargetSeconds;
};

constexpr std::array<Site, 2> kSites{ { { "lefkada", 8, 0.05, 0.44 },
                                        { "dar", 1, 0.2, 0.9 } } };

/** Of five runners three are reclaimable, and two on demand and faster. */
std::vector<RunnerSpec>
Fleet(std::uint32_t aCount)
{
  std::vector<RunnerSpec> fleet;
  for (std::uint32_t at = 0; at < aCount; ++at) {
    const bool onDemand = at % 5 >= 3;
    fleet.push_back({ .mPrice = onDemand ? 2.5 : 1.0,
                      .mSpeed = onDemand ? 1.3 : 1.0,
                      .mDomain = at % 4 });
  }
  return fleet;
}

double
PriceOf(const std::vector<RunnerSpec>& aFleet)
{
  double price = 0;
  for (const RunnerSpec& runner : aFleet) {
    price += runner.mPrice;
  }
  return price;
}

ModelOptions
OptionsOf(const Site& aSite, std::uint32_t aRunners)
{
  ModelOptions options;
  options.mRunners = Fleet(aRunners);
  options.mArrivalsPerSecond = 48;
  options.mLatencyWeight = aSite.mLatencyWeight;
  options.mCostWeight = aSite.mCostWeight;
  options.mTargetSeconds = aSite.mTargetSeconds;
  return options;
}

/** Returns the mean over the seeds. */
ModelResult
Average(PolicyKind aPolicy, ModelOptions aOptions)
{
  ModelResult sum;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    aOptions.mSeed = kFirstSeed + seed;
    const ModelResult one = RunModel(aPolicy, aOptions);
    sum.mFirstTokenP95 += one.mFirstTokenP95 / kSeeds;
    sum.mFirstTokenMean += one.mFirstTokenMean / kSeeds;
    sum.mUsedCost += one.mUsedCost / kSeeds;
    sum.mRecomputedTokens += one.mRecomputedTokens / kSeeds;
    sum.mCacheHits += one.mCacheHits / kSeeds;
    sum.mRequests += one.mRequests;
    sum.mRefused += one.mRefused;
  }
  return sum;
}

/** Returns the price of the smallest fleet that keeps the target; 0 if none. */
double
CostAtTarget(PolicyKind aPolicy, const Site& aSite)
{
  for (std::uint32_t count = kFewestRunners; count <= kMostRunners; ++count) {
    const ModelOptions options = OptionsOf(aSite, count);
    const ModelResult result = Average(aPolicy, options);
    // A fleet that ends few requests has few late ones too.
    const double expected = options.mArrivalsPerSecond *
                            (options.mSeconds - options.mWarmupSeconds) *
                            kSeeds;
    const bool endsAll =
      static_cast<double>(result.mRequests) > 0.95 * expected;
    if (endsAll && result.mFirstTokenP95 <= aSite.mTargetSeconds &&
        result.mRefused * 100 <= result.mRequests) {
      return PriceOf(options.mRunners);
    }
  }
  return 0;
}

/** One row of the comparison. */
struct Row
{
  PolicyKind mPolicy = PolicyKind::kRouter;
  ModelResult mToday;
  double mCostAtTarget = 0;
  double mLostAtTwo = 0;
  double mLostAtFive = 0;
};

double
Lost(PolicyKind aPolicy, const Site& aSite, double aNotice)
{
  ModelOptions options = OptionsOf(aSite, kRunnersToday);
  options.mArrivalsPerSecond = 36;
  options.mWave = true;
  options.mReclaim = { .mAtSecond = 60, .mNoticeSeconds = aNotice };
  return Average(aPolicy, options).mRecomputedTokens;
}

Row
Measure(PolicyKind aPolicy, const Site& aSite)
{
  return { .mPolicy = aPolicy,
           .mToday = Average(aPolicy, OptionsOf(aSite, kRunnersToday)),
           .mCostAtTarget = CostAtTarget(aPolicy, aSite),
           .mLostAtTwo = Lost(aPolicy, aSite, 2),
           .mLostAtFive = Lost(aPolicy, aSite, 5) };
}

std::string
Formatted(const char* aFormat, const Site& aSite, const Row& aRow)
{
  std::array<char, 512> line{};
  std::snprintf(line.data(),
                line.size(),
                aFormat,
                aSite.mName,
                NameOf(aRow.mPolicy).c_str(),
                aRow.mToday.mFirstTokenP95,
                aRow.mToday.mFirstTokenMean,
                aRow.mToday.mCacheHits,
                aRow.mToday.mUsedCost,
                static_cast<unsigned long long>(aRow.mToday.mRefused),
                aRow.mCostAtTarget,
                aRow.mLostAtTwo,
                aRow.mLostAtFive);
  return line.data();
}

} // namespace

PolicyReport
ComparePolicies()
{
  PolicyReport report;
  report.mTable = "site     policy                p95 first  mean first  hits  "
                  "used cost  refused  "
                  "cost at target  lost (2 s)  lost (5 s)\n";
  report.mJson = "[";
  for (const Site& site : kSites) {
    for (const PolicyKind policy : kPolicies) {
      const Row row = Measure(policy, site);
      report.mTable += Formatted(
        "%-8s %-21s %8.3fs  %9.3fs  %4.2f  %9.1f  %7llu  %14.1f  %10.0f  "
        "%10.0f\n",
        site,
        row);
      report.mJson += report.mJson.size() > 1 ? ",\n " : "\n ";
      report.mJson += Formatted(
        "{\"site\":\"%s\",\"policy\":\"%s\",\"p95_first_token_s\":%.4f,"
        "\"mean_first_token_s\":%.4f,\"cache_hits\":%.4f,\"used_cost\":%.2f,"
        "\"refused\":%llu,\"cost_at_target\":%.2f,\"lost_tokens_2s\":%.0f,"
        "\"lost_tokens_5s\":%.0f}",
        site,
        row);
    }
  }
  report.mJson += "\n]\n";
  return report;
}

} // namespace peridotspool::bench
