#include "peridotspool/routing/Router.h"

#include <benchmark/benchmark.h>

namespace peridotspool::bench {

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

routing::UpstreamAnnouncement
News(std::int64_t aAt, std::uint64_t aSequence)
{
  routing::UpstreamAnnouncement news;
  news.mName = UpstreamName("runner-" + std::to_string(aAt));
  news.mIncarnation = Incarnation(1);
  news.mSequence = aSequence;
  news.mService = ServiceName("assistant");
  news.mAddress = { "10.0.0.1", 9000 };
  news.mSlots = 8;
  news.mRunning = static_cast<std::uint32_t>(aAt % 7);
  news.mPriceMicrosPerHour = 1000000 + static_cast<std::uint64_t>(aAt % 3);
  news.mFirstToken = std::chrono::milliseconds(80 + aAt % 40);
  news.mLease = std::chrono::seconds(2);
  return news;
}

routing::RouteQuery
Query(std::uint64_t aGroup)
{
  routing::RouteQuery query;
  query.mService = ServiceName("assistant");
  query.mDeadline = kStart + std::chrono::seconds(30);
  query.mFirstTokenTarget = std::chrono::milliseconds(440);
  query.mPromptTokens = 1000;
  for (std::uint64_t block = 0; block < 8; ++block) {
    query.mPrefixBlocks.push_back(aGroup * 100 + block + 1);
  }
  return query;
}

/** One decision with its sending and its end, prefixes included. */
void
RoutingDecision(benchmark::State& aState)
{
  routing::Router router({});
  for (std::int64_t at = 0; at < aState.range(0); ++at) {
    router.Announce(News(at, 1), kStart);
  }
  std::vector<routing::RouteQuery> queries;
  for (std::uint64_t group = 0; group < 256; ++group) {
    queries.push_back(Query(group));
  }
  std::size_t next = 0;
  auto whyNot = routing::NoRoute::kNoUpstream;
  for (auto _ : aState) {
    const routing::RouteQuery& query = queries[next++ % queries.size()];
    auto choice = router.Choose(query, kStart, whyNot);
    benchmark::DoNotOptimize(choice);
  }
}
BENCHMARK(RoutingDecision)->Arg(20)->Arg(380)->Arg(3000);

void
RoutingDecisionSentAndEnded(benchmark::State& aState)
{
  routing::Router router({});
  for (std::int64_t at = 0; at < aState.range(0); ++at) {
    router.Announce(News(at, 1), kStart);
  }
  std::vector<routing::RouteQuery> queries;
  for (std::uint64_t group = 0; group < 256; ++group) {
    queries.push_back(Query(group));
  }
  std::size_t next = 0;
  auto whyNot = routing::NoRoute::kNoUpstream;
  for (auto _ : aState) {
    const routing::RouteQuery& query = queries[next++ % queries.size()];
    const auto choice = router.Choose(query, kStart, whyNot);
    router.Sent(choice->mUpstream, query, kStart);
    router.Ended(choice->mUpstream, routing::AttemptEnd::kCancelled, kStart);
  }
}
BENCHMARK(RoutingDecisionSentAndEnded)->Arg(20)->Arg(380)->Arg(3000);

void
RoutingAnnouncement(benchmark::State& aState)
{
  routing::Router router({});
  std::uint64_t sequence = 1;
  std::int64_t at = 0;
  for (auto _ : aState) {
    at = (at + 1) % aState.range(0);
    sequence += at == 0 ? 1 : 0;
    benchmark::DoNotOptimize(router.Announce(News(at, sequence), kStart));
  }
}
BENCHMARK(RoutingAnnouncement)->Arg(20)->Arg(380)->Arg(3000);

void
RoutingTick(benchmark::State& aState)
{
  routing::Router router({});
  for (std::int64_t at = 0; at < aState.range(0); ++at) {
    router.Announce(News(at, 1), kStart);
  }
  for (auto _ : aState) {
    router.Tick(kStart);
  }
}
BENCHMARK(RoutingTick)->Arg(20)->Arg(380)->Arg(3000);

} // namespace

} // namespace peridotspool::bench
