// ctest-labels: soak promise-whole-own-answer
#include "soak/ResumingCallers.h"
#include "soak/SoakSystem.h"
#include "soak/SoakUpstream.h"

#include <catch2/catch.hpp>

#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace peridotspool::soak {

namespace {

constexpr int kUpstreams = 8;
constexpr Ms kUntilReady{ 2500 };
constexpr Ms kContact{ 3000 };
constexpr Ms kSlice{ 20 };
/** The share of streams that have to go on, of the share of those that begin.
 */
constexpr double kMinShare = 0.5;

std::uint64_t
NumberFrom(const char* aVariable, std::uint64_t aElse)
{
  const char* text = std::getenv(aVariable);
  return text == nullptr ? aElse : std::strtoull(text, nullptr, 10);
}

/** A system before upstreams of several versions, and faults that befall it. */
class VersionSoak
{
public:
  VersionSoak(std::uint64_t aSeed, int aBlock)
    : mRandom(aSeed)
    , mSystem(aBlock, "versions-" + std::to_string(aSeed))
  {
    for (int number = 1; number <= kUpstreams; ++number) {
      mUpstreams.push_back(std::make_unique<SoakUpstream>(
        mSystem.Where(), number, NameOf(Kind::kResume), mSystem.Seen()));
      mUpstreams.back()->MarkEvents();
      mUpstreams.back()->UseVersion(number % 2 == 0 ? "v1" : "v2");
    }
  }

  bool Start()
  {
    for (const auto& upstream : mUpstreams) {
      upstream->Start();
    }
    CountServing();
    if (!mSystem.Start()) {
      return false;
    }
    std::this_thread::sleep_for(kUntilReady);
    return true;
  }

  ResumeCounts Run(Ms aFor)
  {
    ResumingCallers callers(
      { .mPlaces = mSystem.Where(),
        .mSeed = mRandom(),
        .mIsInTouch = [this](int aEntry) { return IsInTouch(aEntry); },
        .mIsServed =
          [this](const std::string& aVersion) { return IsServed(aVersion); } });
    const Time end = Clock::now() + aFor;
    while (Clock::now() < end) {
      DoDue();
      if (Clock::now() >= mNextFault) {
        Disturb();
        mNextFault = Clock::now() + Ms(200 + Below(1000));
      }
      std::this_thread::sleep_for(kSlice);
    }
    return callers.Counts();
  }

  SoakSystem& Processes() { return mSystem; }

private:
  int Below(std::uint64_t aBound)
  {
    return static_cast<int>(mRandom() % aBound);
  }

  bool IsInTouch(int aEntry)
  {
    const std::lock_guard lock(mMutex);
    return Clock::now() >=
           mFaultUntil.at(static_cast<std::size_t>(aEntry)) + kContact;
  }

  bool IsServed(const std::string& aVersion)
  {
    const std::lock_guard lock(mMutex);
    return mServing[aVersion] >= 2;
  }

  void CountServing()
  {
    const std::lock_guard lock(mMutex);
    mServing.clear();
    for (const auto& upstream : mUpstreams) {
      mServing[upstream->Version()] += upstream->IsServing() ? 1 : 0;
    }
  }

  void MarkFault(int aEntry, Ms aFor)
  {
    const std::lock_guard lock(mMutex);
    Time& until = mFaultUntil.at(static_cast<std::size_t>(aEntry));
    until = std::max(until, Clock::now() + aFor);
  }

  void After(Ms aFor, std::function<void()> aDo)
  {
    mDue.emplace(Clock::now() + aFor, std::move(aDo));
  }

  void DoDue()
  {
    while (!mDue.empty() && mDue.begin()->first <= Clock::now()) {
      const auto due = std::move(mDue.begin()->second);
      mDue.erase(mDue.begin());
      due();
    }
  }

  void Disturb()
  {
    const int entry = 1 + Below(kMachines);
    const Ms span(300 + Below(2500));
    switch (Below(6)) {
      case 0:
        MarkFault(entry, span);
        mSystem.Machine(entry).KillEntry();
        After(span, [=, this] { mSystem.Machine(entry).StartEntry(); });
        return;
      case 1:
        MarkFault(entry, span);
        mSystem.Machine(entry).Signal(SIGSTOP);
        After(span, [=, this] { mSystem.Machine(entry).Signal(SIGCONT); });
        return;
      case 2:
        MarkFault(entry, span);
        CutOff(entry, true);
        After(span, [=, this] { CutOff(entry, false); });
        return;
      default:
        Upgrade(*mUpstreams.at(static_cast<std::size_t>(Below(kUpstreams))));
    }
  }

  void CutOff(int aMachine, bool aHolds)
  {
    for (int other = 1; other <= kMachines; ++other) {
      if (other != aMachine) {
        mSystem.Links().Hold(aMachine, other, aHolds);
        mSystem.Links().Hold(other, aMachine, aHolds);
      }
    }
  }

  /** Replaces an upstream, at its address, by one of another version. */
  void Upgrade(SoakUpstream& aUpstream)
  {
    const int newest = 2 + ++mUpgrades / 3;
    aUpstream.Crash();
    aUpstream.UseVersion("v" + std::to_string(newest - Below(2)));
    aUpstream.Start();
    CountServing();
  }

  std::mt19937_64 mRandom;
  SoakSystem mSystem;
  std::vector<std::unique_ptr<SoakUpstream>> mUpstreams;
  std::multimap<Time, std::function<void()>> mDue;
  Time mNextFault;
  int mUpgrades = 0;
  std::mutex mMutex;
  std::array<Time, kMachines + 1> mFaultUntil{};
  std::map<std::string, int> mServing;
};

void
PlayAndCheck(std::uint64_t aSeed, int aBlock, Ms aFor)
{
  VersionSoak soak(aSeed, aBlock);
  REQUIRE(soak.Start());
  const ResumeCounts counts = soak.Run(aFor);
  const bool isKept =
    counts.mBroken.empty() && counts.mForgedServed == 0 &&
    counts.mResumedAtAll > 0 &&
    static_cast<double>(counts.mResumed * counts.mSent) >=
      kMinShare * static_cast<double>(counts.mAsked * counts.mBegun);
  std::string summary =
    "seed " + std::to_string(aSeed) + ": " + (isKept ? "kept, " : "BROKEN, ") +
    std::to_string(counts.mBegun) + " of " + std::to_string(counts.mSent) +
    " streams began, " + std::to_string(counts.mResumed) + " of " +
    std::to_string(counts.mAsked) + " went on, " +
    std::to_string(counts.mResumedAtAll) + " at all\n";
  for (const auto& [reason, count] : counts.mReasons) {
    summary += "  " + std::to_string(count) + " not: " + reason + "\n";
  }
  for (const std::string& broken : counts.mBroken) {
    summary += "BROKEN: " + broken + "\n";
  }
  std::cout << summary << std::flush;
  INFO(summary << "logs in " << soak.Processes().Folder());
  CHECK(counts.mBroken.empty());
  CHECK(counts.mForgedServed == 0);
  CHECK(counts.mResumedAtAll > 0);
  CHECK(static_cast<double>(counts.mResumed * counts.mSent) >=
        kMinShare * static_cast<double>(counts.mAsked * counts.mBegun));
  if (isKept) {
    soak.Processes().DropLogs();
  }
}

} // namespace

// Guards against streams of two versions, and against callers that can't take
// their streams up, while entries fail and versions replace each other.
TEST_CASE("StreamsThatCallersTakeUpKeepTheirVersion")
{
  PlayAndCheck(1, 83, Ms(12000));
}

// By hand: SOAK_CASE="[.byhand-versions]" scripts/soak FROM COUNT [SECONDS].
TEST_CASE("StreamVersionSeedsGivenByHand", "[.byhand-versions]")
{
  const std::uint64_t first = NumberFrom("SOAK_FROM", 1);
  const std::uint64_t count = NumberFrom("SOAK_COUNT", 1);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    PlayAndCheck(seed,
                 static_cast<int>(NumberFrom("SOAK_BLOCK", 84)),
                 Ms(1000 * static_cast<int>(NumberFrom("SOAK_SECONDS", 20))));
  }
}

} // namespace peridotspool::soak
