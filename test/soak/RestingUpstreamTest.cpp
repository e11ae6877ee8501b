// ctest-labels: soak limits
#include "soak/EntryFaults.h"
#include "soak/MixedCallers.h"
#include "soak/SoakUpstream.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace peridotspool::soak {

namespace {

/** Of each service; the first of them never asks for rest and never leaves. */
constexpr int kUpstreamsEach = 5;
constexpr int kCallers = 24;
constexpr Ms kUntilReady{ 2500 };
constexpr Ms kSlice{ 5 };
/** The users' rules. */
constexpr Ms kRestGrace{ 500 };
constexpr std::size_t kMaxDuringRest = 2;
constexpr Ms kDrain{ 2000 };
/** A refusal that comes later was held back. */
constexpr Ms kAtOnce{ 1000 };
/** An entry that was killed or frozen serves again by then. */
constexpr Ms kSettled{ 3000 };
/** What an upstream states when it turns requests away. */
constexpr std::array<const char*, 8> kRetryAfter{
  "1", "2.5", "3", "4", "0.4", "-1", "soon", "Fri, 31 Dec 1999 23:59:59 GMT",
};

std::uint64_t
NumberFrom(const char* aVariable, std::uint64_t aElse)
{
  const char* text = std::getenv(aVariable);
  return text == nullptr ? aElse : std::strtoull(text, nullptr, 10);
}

struct RestSoakOptions
{
  std::uint64_t mSeed = 1;
  int mBlock = 0;
  Ms mFor{ 12000 };
  /** Entries are killed, frozen and cut off. */
  bool mDisturbed = false;
  /** Upstreams leave and start again. */
  bool mLeaves = true;
  /** Also the first upstream of each service asks for rest. */
  bool mAllRest = false;
};

struct RestCounts
{
  std::size_t mRests = 0;
  /** Most requests from one machine to one upstream during a rest. */
  std::size_t mMostDuringRest = 0;
  std::size_t mLeaves = 0;
  /** Requests that reached an upstream too late after it said that it leaves.
   */
  std::size_t mAfterLeave = 0;
  /** Requests of callers, and those that were served at once or when they
   * returned. */
  std::size_t mRequests = 0;
  std::size_t mServed = 0;
  /** Neither served, nor refused at once with a time to return, nor broken off
   * by an upstream that ended. */
  std::vector<SeenRequest> mLost;
};

/** A system whose upstreams ask entries for rest, and leave. */
class RestSoak
{
public:
  explicit RestSoak(const RestSoakOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
    , mSystem(aOptions.mBlock, "rest-" + std::to_string(aOptions.mSeed))
    , mFaults(mSystem, { .mSeed = aOptions.mSeed + 1 })
  {
    int number = 0;
    for (const Kind kind :
         { Kind::kSafe, Kind::kOnce, Kind::kStream, Kind::kResume }) {
      for (int i = 0; i < kUpstreamsEach; ++i) {
        mUpstreams.push_back(
          { .mUpstream = std::make_unique<SoakUpstream>(
              mSystem.Where(), ++number, NameOf(kind), mSystem.Seen()),
            .mIsSteady = i == 0 && !aOptions.mAllRest });
        mUpstreams.back().mUpstream->RecordVisits();
      }
    }
  }

  bool Start()
  {
    for (const Actor& one : mUpstreams) {
      one.mUpstream->Start();
    }
    if (!mSystem.Start()) {
      return false;
    }
    std::this_thread::sleep_for(kUntilReady);
    return true;
  }

  RestCounts Run()
  {
    {
      const MixedCallers callers(
        mSystem.Where(), kCallers, mOptions.mSeed, mSystem.Seen());
      Play();
    }
    return Count(mSystem.Seen().Take());
  }

  SoakSystem& Processes() { return mSystem; }

private:
  struct Actor
  {
    std::unique_ptr<SoakUpstream> mUpstream;
    bool mIsSteady = false;
    /** When it accepts requests again, or is gone. */
    std::optional<Time> mTiredUntil;
    std::optional<Time> mGoneAt;
    std::optional<Time> mBackAt;
  };

  int Below(int aBound)
  {
    return static_cast<int>(mRandom() % static_cast<std::uint64_t>(aBound));
  }

  void Play()
  {
    const Time start = Clock::now();
    Time nextFault = start + Ms(500);
    while (Clock::now() < start + mOptions.mFor) {
      std::this_thread::sleep_for(kSlice);
      for (Actor& one : mUpstreams) {
        Advance(one);
      }
      mFaults.Advance();
      if (Clock::now() >= nextFault) {
        Disturb();
        nextFault = Clock::now() + Ms(100 + Below(400));
      }
    }
    mFaults.EndAll();
  }

  void Disturb()
  {
    Actor& one = mUpstreams[static_cast<std::size_t>(
      Below(static_cast<int>(mUpstreams.size())))];
    if (!one.mIsSteady && one.mUpstream->IsServing() && !one.mGoneAt) {
      if (mOptions.mLeaves && Below(4) == 0) {
        one.mUpstream->StateLeaving();
        one.mGoneAt = Clock::now() + Ms(2500 + Below(2000));
      } else {
        one.mUpstream->AskForRest(
          kRetryAfter.at(static_cast<std::size_t>(Below(kRetryAfter.size()))));
        one.mTiredUntil = Clock::now() + Ms(100 + Below(3000));
      }
    }
    if (mOptions.mDisturbed && Below(3) == 0) {
      mFaults.Begin();
    }
  }

  void Advance(Actor& aActor)
  {
    const Time now = Clock::now();
    if (aActor.mTiredUntil && now >= *aActor.mTiredUntil) {
      aActor.mUpstream->AskForRest("");
      aActor.mTiredUntil.reset();
    }
    if (aActor.mGoneAt && now >= *aActor.mGoneAt) {
      mEndedAt[aActor.mUpstream->Name()] = now;
      aActor.mUpstream->Crash();
      aActor.mGoneAt.reset();
      aActor.mBackAt = now + Ms(300);
    }
    if (aActor.mBackAt && now >= *aActor.mBackAt) {
      aActor.mUpstream->Start();
      aActor.mBackAt.reset();
    }
  }

  int EntryAt(const std::string& aHost) const
  {
    for (int entry = 1; entry <= kMachines; ++entry) {
      if (mSystem.Where().Own(entry) == aHost) {
        return entry;
      }
    }
    return 0;
  }

  RestCounts Count(const Record& aRecord) const
  {
    std::map<std::pair<std::string, std::string>, std::vector<SeenVisit>> pairs;
    for (const SeenVisit& visit : aRecord.mVisits) {
      pairs[{ visit.mUpstream, visit.mFrom }].push_back(visit);
    }
    std::map<std::string, Time> sentAt;
    for (const SeenRequest& request : aRecord.mRequests) {
      sentAt[request.mId] = request.mSentAt;
    }
    RestCounts counts;
    for (const auto& [pair, visits] : pairs) {
      CountRests(visits, EntryAt(pair.second), counts);
      CountLeaves(visits, EntryAt(pair.second), sentAt, counts);
    }
    CountAnswers(aRecord, counts);
    return counts;
  }

  void CountRests(const std::vector<SeenVisit>& aVisits,
                  int aEntry,
                  RestCounts& aCounts) const
  {
    for (const SeenVisit& asked : aVisits) {
      if (!asked.mRest) {
        continue;
      }
      ++aCounts.mRests;
      const Time end = asked.mAt + *asked.mRest;
      const auto during = static_cast<std::size_t>(std::count_if(
        aVisits.begin(), aVisits.end(), [&](const SeenVisit& aOne) {
          return aOne.mAt > asked.mAt + kRestGrace && aOne.mAt < end &&
                 !mFaults.WasDisturbed(aEntry, asked.mAt, aOne.mAt);
        }));
      aCounts.mMostDuringRest = std::max(aCounts.mMostDuringRest, during);
    }
  }

  void CountLeaves(const std::vector<SeenVisit>& aVisits,
                   int aEntry,
                   const std::map<std::string, Time>& aSentAt,
                   RestCounts& aCounts) const
  {
    const auto first =
      std::find_if(aVisits.begin(), aVisits.end(), [](const SeenVisit& aOne) {
        return aOne.mLeaving;
      });
    if (first == aVisits.end()) {
      return;
    }
    ++aCounts.mLeaves;
    for (auto visit = first + 1; visit != aVisits.end(); ++visit) {
      const auto sent = aSentAt.find(visit->mId);
      if (sent != aSentAt.end() && sent->second > first->mAt + kDrain &&
          !mFaults.WasDisturbed(aEntry, first->mAt, visit->mAt)) {
        ++aCounts.mAfterLeave;
      }
    }
  }

  void CountAnswers(const Record& aRecord, RestCounts& aCounts) const
  {
    std::set<std::string> served;
    for (const SeenRequest& request : aRecord.mRequests) {
      if (request.mStatus == 200) {
        served.insert(request.mId);
      }
    }
    for (const SeenRequest& request : aRecord.mRequests) {
      const bool isDisturbed = mFaults.WasDisturbed(
        request.mMachine, request.mSentAt - kSettled, request.mEndedAt);
      if (isDisturbed || request.mId.ends_with(kReturned)) {
        continue;
      }
      const bool isServed = served.contains(request.mId) ||
                            served.contains(request.mId + kReturned);
      const bool isRefused = request.mStatus == 503 && request.mHasRetryAfter &&
                             request.mEndedAt - request.mSentAt < kAtOnce;
      ++aCounts.mRequests;
      aCounts.mServed += isServed ? 1 : 0;
      if (!isServed && !isRefused && !WasBrokenOff(aRecord, request)) {
        aCounts.mLost.push_back(request);
      }
    }
  }

  /** Returns true iff the request ran at an upstream that was gone before its
   * answer was whole. */
  bool WasBrokenOff(const Record& aRecord, const SeenRequest& aRequest) const
  {
    return std::any_of(aRecord.mVisits.begin(),
                       aRecord.mVisits.end(),
                       [&](const SeenVisit& aOne) {
                         const auto ended = mEndedAt.find(aOne.mUpstream);
                         return aOne.mId == aRequest.mId && !aOne.mRest &&
                                ended != mEndedAt.end() &&
                                ended->second >= aOne.mAt &&
                                ended->second <= aRequest.mEndedAt;
                       });
  }

  const RestSoakOptions mOptions;
  std::mt19937_64 mRandom;
  SoakSystem mSystem;
  EntryFaults mFaults;
  std::vector<Actor> mUpstreams;
  /** When lives of upstreams ended, by their names. */
  std::map<std::string, Time> mEndedAt;
};

std::string
TextOf(const std::vector<SeenRequest>& aRequests)
{
  std::string text;
  for (const SeenRequest& one : aRequests) {
    text += (text.empty() ? "" : ", ") + one.mId + " at entry " +
            std::to_string(one.mMachine) + ", status " +
            std::to_string(one.mStatus);
  }
  return text.empty() ? "none" : text;
}

RestCounts
Play(const RestSoakOptions& aOptions)
{
  RestSoak soak(aOptions);
  REQUIRE(soak.Start());
  const RestCounts counts = soak.Run();
  std::cout << "rest soak, seed " << aOptions.mSeed << ": " << counts.mRests
            << " rests, " << counts.mMostDuringRest
            << " requests in one of them, " << counts.mLeaves << " leaves, "
            << counts.mAfterLeave << " requests after one, " << counts.mServed
            << " of " << counts.mRequests << " served, " << counts.mLost.size()
            << " lost\n";
  INFO("logs in " << soak.Processes().Folder());
  INFO("expected at most " << kMaxDuringRest
                           << " requests of a machine during a rest, got "
                           << counts.mMostDuringRest);
  CHECK(counts.mMostDuringRest <= kMaxDuringRest);
  INFO("expected no request to an upstream that leaves, got "
       << counts.mAfterLeave);
  CHECK(counts.mAfterLeave == 0);
  INFO("expected each request to be served, or refused at once with a time to "
       "return, got "
       << TextOf(counts.mLost));
  CHECK(counts.mLost.empty());
  CHECK(counts.mRests > 0);
  if (std::getenv("SOAK_KEEP_LOGS") == nullptr &&
      counts.mMostDuringRest <= kMaxDuringRest && counts.mAfterLeave == 0 &&
      counts.mLost.empty()) {
    soak.Processes().DropLogs();
  }
  return counts;
}

} // namespace

// Guards against entries that send to upstreams which have asked them for rest,
// or have stated that they leave.
TEST_CASE("UpstreamsThatRestOrLeaveAreSpared")
{
  const RestCounts counts = Play({ .mSeed = 1, .mBlock = 120 });
  INFO("expected the steady upstreams to serve what others turn away, got "
       << counts.mServed << " of " << counts.mRequests);
  CHECK(counts.mServed * 100 >= counts.mRequests * 97);
}

// Guards against rests that are forgotten while entries are killed, frozen and
// cut off, or are taken for failures.
TEST_CASE("UpstreamsThatRestOrLeaveAreSparedWhileEntriesFail")
{
  const RestCounts counts =
    Play({ .mSeed = 2, .mBlock = 121, .mDisturbed = true });
  CHECK(counts.mServed * 100 >= counts.mRequests * 90);
}

// Guards against callers that are kept waiting, or return too early, when all
// upstreams of a service rest.
TEST_CASE("CallersOfAServiceThatRestsAreRefusedAtOnce")
{
  Play({ .mSeed = 3, .mBlock = 122, .mLeaves = false, .mAllRest = true });
}

// By hand, for any number of seeds: RESTING_FROM, RESTING_TO.
TEST_CASE("UpstreamsAreSparedForSeedsByHand", "[.by-hand]")
{
  const std::uint64_t to = NumberFrom("RESTING_TO", 0);
  for (std::uint64_t seed = NumberFrom("RESTING_FROM", 1); seed <= to; ++seed) {
    Play({ .mSeed = seed,
           .mBlock = static_cast<int>(NumberFrom("SOAK_BLOCK", 123)),
           .mDisturbed = seed % 3 != 0,
           .mLeaves = seed % 5 != 0,
           .mAllRest = seed % 4 == 0 });
  }
}

} // namespace peridotspool::soak
