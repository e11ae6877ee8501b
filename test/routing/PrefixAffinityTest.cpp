// ctest-labels: unit
#include "routing/RoutingFixture.h"

#include <catch2/catch.hpp>

namespace peridotspool::routing {

namespace {

/** Forty equal upstreams; a choice by chance is unlikely to repeat. */
class PrefixFixture
{
public:
  PrefixFixture()
  {
    for (int at = 0; at < 40; ++at) {
      mRouter.Announce(Announcement("u" + std::to_string(at)), kStart);
    }
  }

  /** How often of a hundred times the upstream is chosen. */
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

  std::uint64_t BelievedTokens(const RouteQuery& aQuery)
  {
    NoRoute whyNot = NoRoute::kNoUpstream;
    const auto choice = mRouter.Choose(aQuery, kStart, whyNot);
    REQUIRE(choice.has_value());
    for (const CandidateScore& weighed : choice->mCandidateScores) {
      if (weighed.mUpstream == UpstreamName("u7")) {
        return weighed.mCachedTokens;
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
  CHECK(BelievedTokens(Prompt({ 11, 12, 13, 99 })) == 300);
  CHECK(Share("u7", Prompt({ 55, 56 })) < 30);
}

TEST_CASE_METHOD(PrefixFixture, "RemovedBlockIsNoLongerBelieved")
{
  mRouter.Cached(Report(1, { 11, 12 }));
  mRouter.Cached(Report(2, {}, { 12 }));
  CHECK(BelievedTokens(Prompt({ 11, 12 })) == 100);
}

// Symptom: prompts go on to an upstream that computes them all again.
// Sequence: the engine removes blocks; the report of it is lost.
// Cause: a gap in the reports is not noticed, and old news is taken for true.
TEST_CASE_METHOD(PrefixFixture, "GapMakesTheCacheUnknownNotFalse")
{
  mRouter.Cached(Report(1, { 11, 12 }));
  mRouter.Cached(Report(3, { 77 }));
  CHECK(BelievedTokens(Prompt({ 11, 12 })) == 100);
  CHECK(BelievedTokens(Prompt({ 77 })) == 100);
  mRouter.Answered(UpstreamName("u7"), Prompt({ 11, 12 }), 200);
  CHECK(BelievedTokens(Prompt({ 11, 12 })) == 200);
}

TEST_CASE_METHOD(PrefixFixture, "WrongGuessesLoseWeight")
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
  CHECK(BelievedTokens(fresh) < 10);
}

TEST_CASE_METHOD(PrefixFixture, "NewLifeHasAnEmptyCache")
{
  mRouter.Cached(Report(1, { 11 }));
  UpstreamAnnouncement reborn = Announcement("u7");
  reborn.mIncarnation = Incarnation(2);
  mRouter.Announce(reborn, kStart);
  mRouter.Cached(Report(2, { 12 }));
  CHECK(BelievedTokens(Prompt({ 11 })) == 0);
  CHECK(BelievedTokens(Prompt({ 12 })) == 0);
}

TEST_CASE_METHOD(PrefixFixture, "LongPromptsThatShareAPrefixMeet")
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
  CHECK(BelievedTokens(Prompt(second)) >= 100 * 180);
}

} // namespace peridotspool::routing
