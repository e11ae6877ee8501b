// ctest-labels: unit
#include "routing/RoutingFixture.h"

#include <catch2/catch.hpp>

namespace peridotspool::routing {

namespace {

/** Forty equal upstreams, so that a random choice is unlikely to repeat. */
class PrefixFixture
{
public:
  PrefixFixture()
  {
    for (int at = 0; at < 40; ++at) {
      mRouter.Announce(Announcement("u" + std::to_string(at)), kStart);
    }
  }

  /** Returns how often the upstream is chosen in a hundred choices. */
  int Share(const std::string& aName, const RouteQuery& aQuery)
  {
    int chosen = 0;
    for (int at = 0; at < 100; ++at) {
      chosen += Chosen(mRouter, aQuery, kStart) == aName ? 1 : 0;
    }
    return chosen;
  }

  static RouteQuery Prompt(std::vector<std::uint64_t> aBlocks)
  {
    RouteQuery query = Query();
    query.mPromptTokens = 100 * aBlocks.size();
    query.mPrefixBlocks = std::move(aBlocks);
    return query;
  }

  CacheReport Report(std::uint64_t aSequence,
                     std::vector<std::uint64_t> aAdded,
                     std::vector<std::uint64_t> aRemoved = {})
  {
    return { .mUpstream = UpstreamName("u7"),
             .mIncarnation = Incarnation(1),
             .mSequence = aSequence,
             .mAddedBlocks = std::move(aAdded),
             .mRemovedBlocks = std::move(aRemoved) };
  }

  std::uint64_t CachedTokens(const RouteQuery& aQuery)
  {
    NoRoute reason = NoRoute::kNoUpstream;
    const auto choice = mRouter.Choose(aQuery, kStart, reason);
    REQUIRE(choice.has_value());
    for (const CandidateScore& candidate : choice->mCandidateScores) {
      if (candidate.mUpstream == UpstreamName("u7")) {
        return candidate.mCachedTokens;
      }
    }
    return 0;
  }

  Router mRouter{ {} };
};

} // namespace

TEST_CASE_METHOD(PrefixFixture, "PromptGoesWhereItsPrefixIsCached")
{
  mRouter.Cached(Report(1, { 11, 12, 13 }));
  CHECK(Share("u7", Prompt({ 11, 12, 13, 99 })) == 100);
  CHECK(CachedTokens(Prompt({ 11, 12, 13, 99 })) == 300);
  CHECK(Share("u7", Prompt({ 55, 56 })) < 30);
}

TEST_CASE_METHOD(PrefixFixture, "RemovedBlockIsNoLongerCounted")
{
  mRouter.Cached(Report(1, { 11, 12 }));
  mRouter.Cached(Report(2, {}, { 12 }));
  CHECK(CachedTokens(Prompt({ 11, 12 })) == 100);
}

// Guards against sending prompts to an upstream that has to compute them again.
// It happens if a lost report goes unnoticed and the index still lists blocks
// that the engine has removed.
TEST_CASE_METHOD(PrefixFixture, "LostReportMakesTheCacheContentsUncertain")
{
  mRouter.Cached(Report(1, { 11, 12 }));
  mRouter.Cached(Report(3, { 77 }));
  CHECK(CachedTokens(Prompt({ 11, 12 })) == 100);
  CHECK(CachedTokens(Prompt({ 77 })) == 100);
  mRouter.Answered(UpstreamName("u7"), Prompt({ 11, 12 }), 200);
  CHECK(CachedTokens(Prompt({ 11, 12 })) == 200);
}

TEST_CASE_METHOD(PrefixFixture, "WrongGuessesLowerTheGuessRate")
{
  const UpstreamName upstream("u7");
  for (std::uint64_t at = 0; at < 20; ++at) {
    const RouteQuery query = Prompt({ 1000 + at });
    mRouter.Sent(upstream, query, kStart);
    mRouter.Answered(upstream, query, 0);
    mRouter.Ended(upstream, AttemptEnd::kCancelled, kStart);
  }
  const RouteQuery fresh = Prompt({ 5000 });
  mRouter.Sent(upstream, fresh, kStart);
  CHECK(CachedTokens(fresh) < 10);
}

TEST_CASE_METHOD(PrefixFixture, "NewIncarnationHasAnEmptyCache")
{
  mRouter.Cached(Report(1, { 11 }));
  UpstreamAnnouncement restarted = Announcement("u7");
  restarted.mIncarnation = Incarnation(2);
  mRouter.Announce(restarted, kStart);
  mRouter.Cached(Report(2, { 12 }));
  CHECK(CachedTokens(Prompt({ 11 })) == 0);
  CHECK(CachedTokens(Prompt({ 12 })) == 0);
}

TEST_CASE_METHOD(PrefixFixture, "LongPromptsWithASharedPrefixMatch")
{
  std::vector<std::uint64_t> shared;
  for (std::uint64_t at = 1; at <= 200; ++at) {
    shared.push_back(at);
  }
  std::vector<std::uint64_t> first = shared;
  first.insert(first.end(), 57, 7001);
  std::vector<std::uint64_t> second = shared;
  second.insert(second.end(), 11, 7002);
  mRouter.Answered(UpstreamName("u7"), Prompt(first), 0);
  CHECK(CachedTokens(Prompt(second)) >= 100 * 180);
}

} // namespace peridotspool::routing
