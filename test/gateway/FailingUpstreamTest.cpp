// ctest-labels: unit
// Simulates plain calls to a few upstreams, one of which fails every call, and
// measures how many callers get a failure.

#include "peridotspool/gateway/LoadCoordinator.h"
#include "peridotspool/gateway/UpstreamSelector.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

namespace peridotspool::gateway {

namespace {

const ServiceName kService("s");
const UpstreamName kFailing("u0");
constexpr int kEntries = 68;
constexpr int kUpstreams = 4;
constexpr int kCallsEachSecond = 180;
constexpr int kDurationMs = 5000;
/** A failure is returned at once, a successful response only after the work. */
constexpr int kFailureMs = 5;
constexpr int kWorkMs = 30;

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

UpstreamSelector
MakeSelector()
{
  UpstreamSelector selector{ UpstreamSelectorOptions{} };
  for (int i = 0; i < kUpstreams; ++i) {
    const membership::KnownUpstream known{
      .mReport = { .mName = UpstreamName("u" + std::to_string(i)),
                   .mService = kService,
                   .mSlots = 6 }
    };
    selector.Update(known.mReport.mName, &known, At(0));
  }
  return selector;
}

struct Call
{
  std::size_t mEntry = 0;
  std::uint64_t mNumber = 0;
  SentRequest mSent;
};

/** Returns the fraction of failed calls. */
double
Simulate(bool aQueryCoordinator, unsigned aSeed)
{
  std::vector<UpstreamSelector> selectors(kEntries, MakeSelector());
  LoadCoordinator coordinator;
  std::multimap<int, Call> inFlight;
  std::mt19937 random(aSeed);
  std::uint64_t number = 0;
  std::uint64_t failed = 0;
  for (int ms = 0; ms < kDurationMs; ++ms) {
    for (auto call = inFlight.begin();
         call != inFlight.end() && call->first <= ms;
         call = inFlight.erase(call)) {
      const Call& one = call->second;
      const bool bad = one.mSent.mName == kFailing;
      selectors[one.mEntry].RecordEnd(
        one.mSent, bad ? SendResult::kFailed : SendResult::kAnswered, At(ms));
      coordinator.Handle(SendEndedReport{ .mUpstream = one.mSent.mName,
                                          .mSendId = one.mNumber,
                                          .mFailed = bad },
                         At(ms));
    }
    if (random() % 1000 >= kCallsEachSecond) {
      continue;
    }
    const std::size_t entry = random() % kEntries;
    UpstreamSelector& selector = selectors[entry];
    SelectionQuery query{ .mService = kService, .mSeed = ++number };
    if (aQueryCoordinator) {
      LoadQuery loadQuery;
      for (const auto& upstream : selector.Shortlist(query, At(ms))) {
        loadQuery.mUpstreams.push_back(upstream.mName);
      }
      for (const UpstreamLoad& load :
           coordinator.HandleQuery(loadQuery, At(ms)).mLoads) {
        selector.ApplyCoordinatorLoad(load, At(ms));
      }
      query.mShortlist = loadQuery.mUpstreams;
    }
    const UpstreamChoice choice = *selector.Choose(query, At(ms));
    const bool bad = choice.mName == kFailing;
    failed += bad ? 1 : 0;
    coordinator.Handle(
      SendStartedReport{ .mUpstream = choice.mName, .mSendId = number },
      At(ms));
    inFlight.emplace(ms + (bad ? kFailureMs : kWorkMs),
                     Call{ .mEntry = entry,
                           .mNumber = number,
                           .mSent = selector.RecordSent(choice, At(ms)) });
  }
  return static_cast<double>(failed) / static_cast<double>(number);
}

} // namespace

// While one of four upstreams failed every call, a quarter of all calls failed.
// With 180 calls per second through 68 entries, the failing upstream responds
// at once and so looks idle, and no entry saw four consecutive failures before
// its ejection of the upstream had ended.
TEST_CASE("CoordinatorsKeepCallsAwayFromAFailingUpstream")
{
  for (const unsigned seed : { 1U, 2U, 3U }) {
    const double ownSends = Simulate(false, seed);
    const double coordinated = Simulate(true, seed);
    INFO("seed " << seed << ": failed " << ownSends
                 << " of the calls by own sends, " << coordinated
                 << " with coordinators");
    CHECK(ownSends > 0.15);
    CHECK(coordinated < 0.05);
  }
}

} // namespace peridotspool::gateway
