#pragma once

#include "gateway/EmulatedEngine.h"
#include "peridotspool/gateway/LoadKeeper.h"
#include "peridotspool/gateway/PrefixMemory.h"
#include "peridotspool/gateway/UpstreamBoard.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <vector>

namespace peridotspool::gateway {

/** What callers ask for, and who serves it. */
struct Deployment
{
  int mEntries = 10;
  int mEngines = 12;
  int mSubjects = 80;
  std::uint32_t mSlots = 64;
  /** Tokens that an engine keeps. */
  std::uint64_t mMemory = 10000000;
  double mTokensPerMs = 50.0;
  /** From a prompt's last token read to its first event at the entry. */
  double mFirstMs = 0.0;
  /** A step of an engine's batch in which no prompt is read. */
  double mStepMs = 0.0;
  std::uint64_t mShared = 5400;
  double mMeanPrompt = 6600.0;
  double mSpread = 1.4;
  double mLongestPrompt = 54600.0;
  double mAnswerTokens = 0.0;
  double mPromptsPerMs = 0.03;
  double mObjectiveMs = 600.0;
  /** A caller without its first event leaves. */
  double mPatienceMs = 1e9;
  /** The part of the keepers' answers that come too late to be heard. */
  double mUnheard = 0.0;
  /** Times that a caller comes back after a refusal. */
  int mReturns = 1;
  double mDayMs = 60000.0;
};

/** A time in which more prompts are asked for, or fewer. */
struct Phase
{
  double mFromMs = 0.0;
  double mToMs = 0.0;
  double mTimes = 1.0;
};

/** How entries choose. */
enum class Policy
{
  /** By the prefix's order alone. */
  kByPlace,
  /** By expected time, from what the entry itself has sent. */
  kByOwnSends,
  /** By expected time, asking the keepers of the first few. */
  kByKeepers,
};

struct Arrival
{
  double mAtMs = 0.0;
  PromptParts mPrompt;
  int mEntry = 0;
  /** When its caller asked first, and how often it was refused since. */
  double mAskedMs = 0.0;
  int mRefusals = 0;
};

/** What became of one prompt. */
struct Served
{
  /** When its caller asked first. */
  double mAtMs = 0.0;
  /** From then on; its caller's patience where there was none. */
  double mFirstMs = 0.0;
  /** It was refused for good. */
  bool mRefused = false;
  double mAsked = 0.0;
  double mRead = 0.0;
};

/** Of the prompts that came within a time. */
struct Outcome
{
  double mInObjective = 0.0;
  double mP95Ms = 0.0;
  /** Refused for good. */
  double mRefused = 0.0;
  /** Tokens read, as a part of those asked for. */
  double mRead = 0.0;
};

std::vector<Arrival>
MakeLoad(const Deployment& aDeployment,
         unsigned aSeed,
         const std::vector<Phase>& aPhases = {});

/** Entries and engines, with the choice of one policy or another. */
class LoadPlay
{
public:
  LoadPlay(const Deployment& aDeployment, Policy aPolicy);

  void Run(const std::vector<Arrival>& aLoad);
  Outcome Of(double aFromMs, double aToMs) const;
  Outcome OfAll() const { return Of(0.0, mDeployment.mDayMs); }

private:
  struct Engine
  {
    EmulatedEngine mEngine;
    PrefixMemory mKept;
  };

  struct UnderWay
  {
    std::size_t mPlace = 0;
    std::size_t mEngine = 0;
    int mEntry = 0;
    bool mBegun = false;
    SentRequest mSent;
  };

  UpstreamBoard IdleBoard() const;
  UpstreamBoard& BoardOf(int aEntry);
  UpstreamChoice Choose(const Arrival& aOne, bool aLooksFurther);
  std::optional<Duration> ComeBack(const Arrival& aOne,
                                   const UpstreamChoice& aChoice) const;
  void Refuse(const Arrival& aOne, Duration aComeBack);
  void ServeReturning(double aMs);
  void ServeWhenIn(const Arrival& aOne);
  double TokensToRead(const Engine& aEngine,
                      const PromptParts& aPrompt,
                      const std::optional<Address>& aNeighbour) const;
  void Serve(const Arrival& aOne, const UpstreamChoice& aChoice);
  template<typename Message>
  void Tell(double aMs, const Message& aMessage);
  void TakeNews(double aMs);
  void TakeEvent(const EngineEvent& aEvent);
  void Leave(double aMs);
  void Settle(double aMs);

  Deployment mDeployment;
  Policy mPolicy;
  std::vector<Engine> mEngines;
  std::vector<UpstreamBoard> mBoards;
  LoadKeeper mKeeper;
  std::mt19937 mRandom{ 1 };
  std::vector<Served> mServed;
  /** Who was told to come back, by when that is. */
  std::multimap<double, Arrival> mReturning;
  std::map<std::uint64_t, UnderWay> mUnderWay;
  std::uint64_t mLastSend = 0;
  /** The oldest send that may still have to be given up. */
  std::uint64_t mOldest = 1;
  /** Of the engines, not yet known to the entries, by time. */
  std::vector<EngineEvent> mEvents;
  std::deque<std::pair<double, std::function<void(TimePoint)>>> mNews;
};

} // namespace peridotspool::gateway
