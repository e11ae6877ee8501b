// ctest-labels: unit
// Plays long and short prompts to engines that read one after the other, and
// looks at when callers get their first event.

#include "peridotspool/gateway/ReadingTeller.h"
#include "peridotspool/gateway/UpstreamBoard.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <set>

namespace peridotspool::gateway {

namespace {

using std::chrono::milliseconds;

const ServiceName kService("s");
constexpr int kEntries = 10;
constexpr int kEngines = 12;
constexpr int kSubjects = 80;
constexpr double kTokensPerMs = 50.0;
constexpr double kMeanPrompt = 6600.0;
constexpr double kSpread = 1.4;
constexpr double kLongestPrompt = 54600.0;
constexpr double kPromptsPerMs = 0.03;
constexpr int kTellingMs = 2;

/** An engine that reads prompts in the order in which they come. */
struct Engine
{
  double mReadAtMs = 0.0;
  std::set<std::uint64_t> mKept;
};

struct Arrival
{
  double mAtMs = 0.0;
  PromptParts mPrompt;
  int mEntry = 0;
};

struct Outcome
{
  double mInObjective = 0.0;
  double mP95Ms = 0.0;
};

std::vector<Arrival>
MakeLoad(unsigned aSeed)
{
  std::mt19937 random(aSeed);
  std::exponential_distribution<double> gap(kPromptsPerMs);
  std::lognormal_distribution<double> size(
    std::log(kMeanPrompt) - kSpread * kSpread / 2, kSpread);
  std::vector<Arrival> load;
  for (double at = 0.0; at < 60000.0; at += gap(random)) {
    const std::uint64_t subject = 1 + random() % kSubjects;
    load.push_back({ .mAtMs = at,
                     .mPrompt = { .mAffinity = subject,
                                  .mShared = 5400,
                                  .mOwn = static_cast<std::uint64_t>(std::min(
                                    kLongestPrompt, 1 + size(random))) },
                     .mEntry = static_cast<int>(random() % kEntries) });
  }
  return load;
}

/** A board that knows all engines and nothing of their work. */
UpstreamBoard
IdleBoard(TimePoint aNow)
{
  UpstreamBoard board{ UpstreamBoardOptions{} };
  for (int engine = 0; engine < kEngines; ++engine) {
    const membership::KnownUpstream known{
      .mReport = { .mName = UpstreamName(std::to_string(engine)),
                   .mService = kService,
                   .mSlots = 64 }
    };
    board.Take(known.mReport.mName, &known, aNow);
  }
  return board;
}

/** Entries and engines, with the choice of one policy or the other. */
class Play
{
public:
  explicit Play(bool aByPlaceOnly)
    : mByPlaceOnly(aByPlaceOnly)
    , mEngines(kEngines)
    , mTellers(kEntries)
  {
    for (int entry = 0; entry < kEntries; ++entry) {
      mBoards.push_back(IdleBoard(At(0)));
      mTellers[entry].UsePeers(kEntries - 1);
    }
  }

  Outcome Run(const std::vector<Arrival>& aLoad)
  {
    std::vector<double> times;
    for (const Arrival& one : aLoad) {
      Settle(one.mAtMs);
      times.push_back(Serve(one));
    }
    const auto good = std::count_if(
      times.begin(), times.end(), [](double aMs) { return aMs <= 600.0; });
    std::sort(times.begin(), times.end());
    return { static_cast<double>(good) / static_cast<double>(times.size()),
             times[times.size() * 95 / 100] };
  }

private:
  struct UnderWay
  {
    double mFirstMs = 0.0;
    int mEntry = 0;
    SentRequest mSent;
  };

  static TimePoint At(double aMs)
  {
    return TimePoint(std::chrono::seconds(1000)) +
           std::chrono::duration_cast<Duration>(
             std::chrono::duration<double, std::milli>(aMs));
  }

  UpstreamChoice Choose(const Arrival& aOne)
  {
    const ChooseQuestion question{ .mService = kService,
                                   .mPrompt = aOne.mPrompt };
    const TimePoint now = At(aOne.mAtMs);
    // An idle board orders the engines by the prefix alone.
    return mByPlaceOnly ? *IdleBoard(now).Choose(question, now)
                        : *mBoards[aOne.mEntry].Choose(question, now);
  }

  double Serve(const Arrival& aOne)
  {
    const UpstreamChoice choice = Choose(aOne);
    Engine& engine = mEngines[std::stoul(choice.mName.Value())];
    const bool kept = engine.mKept.contains(aOne.mPrompt.mAffinity);
    engine.mKept.insert(aOne.mPrompt.mAffinity);
    const double reads =
      static_cast<double>(aOne.mPrompt.mOwn) +
      (kept ? 0.0 : 0.2 * static_cast<double>(aOne.mPrompt.mShared));
    engine.mReadAtMs =
      std::max(engine.mReadAtMs, aOne.mAtMs) + reads / kTokensPerMs;
    mUnderWay.push_back(
      { .mFirstMs = engine.mReadAtMs,
        .mEntry = aOne.mEntry,
        .mSent = mBoards[aOne.mEntry].Sent(choice, At(aOne.mAtMs)) });
    if (const auto news = mTellers[aOne.mEntry].Add(
          choice.mName, choice.mReads, At(aOne.mAtMs))) {
      mNews.push_back({ aOne.mAtMs + kTellingMs, { aOne.mEntry, *news } });
    }
    return engine.mReadAtMs - aOne.mAtMs;
  }

  /** Brings to the boards what has happened by then. */
  void Settle(double aMs)
  {
    while (!mNews.empty() && mNews.front().first <= aMs) {
      const auto& [from, news] = mNews.front().second;
      for (int entry = 0; entry < kEntries; ++entry) {
        for (const ReadingLine& line : news.mLines) {
          if (entry != from) {
            mBoards[entry].TakeReading(
              line.mUpstream, line.mTokens, At(mNews.front().first));
          }
        }
      }
      mNews.pop_front();
    }
    std::erase_if(mUnderWay, [&](UnderWay& aOne) {
      if (aOne.mFirstMs > aMs) {
        return false;
      }
      UpstreamBoard& board = mBoards[aOne.mEntry];
      board.Began(aOne.mSent, At(aOne.mFirstMs));
      board.Ended(aOne.mSent, SendResult::kAnswered, At(aMs));
      return true;
    });
  }

  bool mByPlaceOnly;
  std::vector<Engine> mEngines;
  std::vector<UpstreamBoard> mBoards;
  std::vector<ReadingTeller> mTellers;
  std::vector<UnderWay> mUnderWay;
  std::deque<std::pair<double, std::pair<int, ReadingNews>>> mNews;
};

} // namespace

// Thirty prompts a second of 6,600 tokens in the mean and 54,600 at most, on
// twelve engines that read 50 tokens a millisecond.
TEST_CASE("ByExpectedTimeMoreCallersGetTheirFirstEventInTime")
{
  for (const unsigned seed : { 1U, 2U, 3U }) {
    const auto load = MakeLoad(seed);
    const Outcome byPlace = Play(true).Run(load);
    const Outcome byTime = Play(false).Run(load);
    INFO("seed " << seed << ": within 600 ms by place " << byPlace.mInObjective
                 << ", by time " << byTime.mInObjective << "; p95 "
                 << byPlace.mP95Ms << " and " << byTime.mP95Ms << " ms");
    CHECK(byTime.mInObjective > byPlace.mInObjective + 0.04);
    CHECK(byTime.mInObjective > 0.93);
    CHECK(byTime.mP95Ms < 0.7 * byPlace.mP95Ms);
  }
}

} // namespace peridotspool::gateway
