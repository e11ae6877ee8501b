// ctest-labels: unit promise-refusal-did-not-run
#include "routing/RoutingFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

namespace peridotspool::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Keeps all that happened and decides by a scan over all of it. */
class NaiveRouter
{
public:
  explicit NaiveRouter(RouterOptions aOptions)
    : mOptions(aOptions)
  {
  }

  void Announce(const UpstreamAnnouncement& aNews, TimePoint aNow)
  {
    mHistory.push_back({ aNews, aNow, aNow - aNews.mLoadAge });
  }
  void Sent(const std::string& aName, TimePoint aNow)
  {
    mSteps.push_back({ aName, aNow, 1 });
  }
  void Ended(const std::string& aName, TimePoint aNow)
  {
    mSteps.push_back({ aName, aNow, -1 });
  }

  /** Returns the score of each upstream that may be chosen. */
  std::map<std::string, double> Scores(const RouteQuery& aQuery,
                                       TimePoint aNow) const
  {
    std::map<std::string, double> scores;
    for (const auto& [name, arrived] : Newest()) {
      const UpstreamAnnouncement& news = arrived.mNews;
      const bool avoided =
        std::count(aQuery.mAvoid.begin(), aQuery.mAvoid.end(), news.mName) > 0;
      if (news.mState == UpstreamState::kLeaving || avoided ||
          news.mService != aQuery.mService ||
          aNow >= arrived.mAt + std::min<Duration>(news.mLease, seconds(2))) {
        continue;
      }
      const double load = Load(name, arrived);
      const double slots = news.mSlots;
      const double hold =
        static_cast<double>(mOptions.mInitialHoldTime.count());
      const double ahead =
        load + (mOptions.mOtherEntriesSend ? 0.5 : 0) - slots + 1;
      const double wait = ahead > 0 ? ahead * hold / slots : 0;
      const double first =
        std::round(wait + static_cast<double>(news.mFirstToken.count()) *
                            (1 + 3 * std::min(load, slots) / slots));
      const auto remaining =
        static_cast<double>((aQuery.mDeadline - aNow).count());
      if (load < slots * 5 && first < remaining) {
        const double late = first + hold > remaining ? 10 : 0;
        scores[name] = mOptions.mLatencyWeight * (first / 1e6 + late) +
                       mOptions.mCostWeight *
                         static_cast<double>(news.mPriceMicrosPerHour) / 1e6;
      }
    }
    return scores;
  }

private:
  struct Arrived
  {
    UpstreamAnnouncement mNews;
    TimePoint mAt;
    /** Of the youngest report so far. */
    TimePoint mReported;
  };
  struct Step
  {
    std::string mName;
    TimePoint mAt;
    int mChange;
  };

  std::map<std::string, Arrived> Newest() const
  {
    std::map<std::string, Arrived> newest;
    for (const Arrived& arrived : mHistory) {
      const auto [found, added] =
        newest.emplace(arrived.mNews.mName.Value(), arrived);
      if (!added && arrived.mNews.mSequence > found->second.mNews.mSequence) {
        const bool left = found->second.mNews.mState == UpstreamState::kLeaving;
        const TimePoint reported = found->second.mReported;
        found->second = arrived;
        found->second.mReported = std::max(arrived.mReported, reported);
        if (left) {
          found->second.mNews.mState = UpstreamState::kLeaving;
        }
      }
    }
    return newest;
  }

  double Load(const std::string& aName, const Arrived& aArrived) const
  {
    int own = 0;
    int since = 0;
    for (const Step& step : mSteps) {
      if (step.mName == aName) {
        own += step.mChange;
        since += step.mAt > aArrived.mReported ? step.mChange : 0;
      }
    }
    const int known =
      static_cast<int>(aArrived.mNews.mRunning + aArrived.mNews.mWaiting);
    const int weight = mOptions.mOtherEntriesSend ? 2 : 1;
    return std::max(known + weight * since, own);
  }

  RouterOptions mOptions;
  std::vector<Arrived> mHistory;
  std::vector<Step> mSteps;
};

/** Drives both routers through the same random events. */
class Comparison
{
public:
  Comparison(std::uint32_t aUpstreams, bool aOthersSend)
    : mUpstreams(aUpstreams)
    , mOptions{ .mOtherEntriesSend = aOthersSend }
    , mRouter(mOptions)
    , mNaive(mOptions)
  {
  }

  void Run(int aSteps)
  {
    for (int step = 0; step < aSteps; ++step) {
      mNow += milliseconds(*rc::gen::inRange(1, 400));
      const int what = *rc::gen::inRange(0, 10);
      if (what < 4) {
        Announce();
      } else if (what < 5) {
        End();
      } else {
        Choose();
      }
    }
  }

private:
  std::string AnyName()
  {
    return "u" +
           std::to_string(*rc::gen::inRange<std::uint32_t>(0, mUpstreams));
  }

  void Announce()
  {
    UpstreamAnnouncement news = Announcement(AnyName());
    news.mSequence = *rc::gen::inRange<std::uint64_t>(1, 40);
    news.mState = *rc::gen::inRange(0, 12) == 0 ? UpstreamState::kLeaving
                                                : UpstreamState::kServing;
    news.mSlots = *rc::gen::inRange<std::uint32_t>(1, 4);
    news.mRunning = *rc::gen::inRange<std::uint32_t>(0, 8);
    news.mLoadAge = milliseconds(*rc::gen::inRange(0, 1500));
    news.mFirstToken = milliseconds(*rc::gen::inRange(1, 900));
    news.mPriceMicrosPerHour = *rc::gen::inRange<std::uint64_t>(0, 9000000);
    mRouter.Announce(news, mNow);
    mNaive.Announce(news, mNow);
  }

  void End()
  {
    if (mRunning.empty()) {
      return;
    }
    const std::string name = mRunning.back();
    mRunning.pop_back();
    // Cancelled: the naive router does not learn holding times.
    mRouter.Ended(UpstreamName(name), AttemptEnd::kCancelled, mNow);
    mNaive.Ended(name, mNow);
  }

  void Choose()
  {
    RouteQuery query = Query();
    query.mDeadline = mNow + milliseconds(*rc::gen::inRange(1, 3000));
    query.mAvoid = { UpstreamName(AnyName()) };
    const auto scores = mNaive.Scores(query, mNow);
    NoRoute whyNot = NoRoute::kNoUpstream;
    const auto choice = mRouter.Choose(query, mNow, whyNot);
    RC_ASSERT(choice.has_value() == !scores.empty());
    if (!choice) {
      return;
    }
    const std::string name = choice->mUpstream.Value();
    RC_ASSERT(scores.contains(name));
    double best = scores.at(name);
    for (const auto& weighed : choice->mCandidateScores) {
      const auto found = scores.find(weighed.mUpstream.Value());
      best = found == scores.end() ? best : std::min(best, found->second);
    }
    if (mUpstreams <= mOptions.mCandidates) {
      for (const auto& [other, score] : scores) {
        best = std::min(best, score);
      }
    }
    RC_ASSERT(scores.at(name) <= best * 1.0001 + 1e-6);
    mRouter.Sent(choice->mUpstream, query, mNow);
    mNaive.Sent(name, mNow);
    mRunning.push_back(name);
  }

  std::uint32_t mUpstreams;
  RouterOptions mOptions;
  Router mRouter;
  NaiveRouter mNaive;
  std::vector<std::string> mRunning;
  TimePoint mNow = kStart;
};

} // namespace

TEST_CASE("SmallServiceIsDecidedLikeAFullScan")
{
  rc::prop("router and full scan choose equally good upstreams",
           [] { Comparison(4, *rc::gen::arbitrary<bool>()).Run(60); });
}

TEST_CASE("LargeServiceGetsTheBestOfItsCandidatesAndNoFalseRefusal")
{
  rc::prop("chosen is the best weighed; refused only if a scan refuses",
           [] { Comparison(30, *rc::gen::arbitrary<bool>()).Run(120); });
}

TEST_CASE("OwnSendsCountUntilAYoungerReportHasThem")
{
  Router router({ .mOtherEntriesSend = false });
  UpstreamAnnouncement first = Announcement("u1");
  UpstreamAnnouncement second = Announcement("u2");
  first.mRunning = 0;
  second.mRunning = 2;
  router.Announce(first, kStart);
  router.Announce(second, kStart);
  std::map<std::string, int> sent;
  for (int at = 0; at < 6; ++at) {
    const std::string name = Chosen(router, Query(), kStart + milliseconds(at));
    router.Sent(UpstreamName(name), Query(), kStart + milliseconds(at));
    ++sent[name];
  }
  // The report said 0 and 2; six requests fill them evenly to 4 and 4.
  CHECK(sent["u1"] == 4);
  CHECK(sent["u2"] == 2);
}

TEST_CASE("RefusalSaysWhy")
{
  Router router({});
  NoRoute whyNot = NoRoute::kQueueFull;
  CHECK_FALSE(router.Choose(Query(), kStart, whyNot));
  CHECK(whyNot == NoRoute::kNoUpstream);
  UpstreamAnnouncement news = Announcement("u1");
  news.mFirstToken = seconds(1);
  router.Announce(news, kStart);
  RouteQuery hurried = Query();
  hurried.mDeadline = kStart + milliseconds(900);
  CHECK_FALSE(router.Choose(hurried, kStart, whyNot));
  CHECK(whyNot == NoRoute::kDeadlineTooNear);
  news.mSequence = 2;
  news.mWaiting = 1000;
  router.Announce(news, kStart);
  CHECK_FALSE(router.Choose(Query(), kStart, whyNot));
  CHECK(whyNot == NoRoute::kQueueFull);
}

TEST_CASE("LatencyWeightAndCostWeightDecideBetweenFastAndCheap")
{
  UpstreamAnnouncement fast = Announcement("fast");
  fast.mPriceMicrosPerHour = 3000000;
  UpstreamAnnouncement cheap = Announcement("cheap");
  cheap.mFirstToken = milliseconds(300);
  cheap.mPriceMicrosPerHour = 1000000;
  Router lefkada({ .mLatencyWeight = 8, .mCostWeight = 0.1 });
  Router kilimanjaro({ .mLatencyWeight = 1, .mCostWeight = 4 });
  for (Router* router : { &lefkada, &kilimanjaro }) {
    router->Announce(fast, kStart);
    router->Announce(cheap, kStart);
  }
  CHECK(Chosen(lefkada, Query(), kStart) == "fast");
  CHECK(Chosen(kilimanjaro, Query(), kStart) == "cheap");
}

TEST_CASE("ManyUpstreamsAreBounded")
{
  Router router({ .mMaxUpstreams = 3 });
  for (int at = 0; at < 9; ++at) {
    router.Announce(Announcement("u" + std::to_string(at)), kStart);
  }
  CHECK(router.Upstreams(kStart).size() == 3);
  router.Tick(kStart + std::chrono::hours(1));
  CHECK(router.Announce(Announcement("new"), kStart + std::chrono::hours(1)));
}

} // namespace peridotspool::routing
