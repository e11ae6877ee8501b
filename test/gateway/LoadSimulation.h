#pragma once

#include "gateway/EmulatedEngine.h"
#include "peridotspool/gateway/LoadCoordinator.h"
#include "peridotspool/gateway/PrefixCacheModel.h"
#include "peridotspool/gateway/UpstreamSelector.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <vector>

namespace peridotspool::gateway {

/** What callers loadQuery for, and who serves it. */
struct Deployment
{
  int mEntries = 10;
  int mEngines = 12;
  int mPrefixCount = 80;
  std::uint32_t mSlots = 64;
  /** Tokens that an engine keeps. */
  std::uint64_t mCacheTokens = 10000000;
  double mTokensPerMs = 50.0;
  /** From a prompt's last token read to its first event at the entry. */
  double mFirstMs = 0.0;
  /** A step of an engine's batch in which no prompt is read. */
  double mStepMs = 0.0;
  std::uint64_t mSharedTokens = 5400;
  double mMeanPrompt = 6600.0;
  double mSpread = 1.4;
  double mLongestPrompt = 54600.0;
  double mAnswerTokens = 0.0;
  double mPromptsPerMs = 0.03;
  double mObjectiveMs = 600.0;
  /** A caller without its first event leaves. */
  double mTimeoutMs = 1e9;
  /** The part of the coordinators' answers that come too late to be heard. */
  double mLateResponseShare = 0.0;
  /** Times that a caller comes back after a refusal. */
  int mMaxRetries = 1;
  double mDurationMs = 60000.0;
};

/** A time in which more prompts are asked for, or fewer. */
struct Phase
{
  double mFromMs = 0.0;
  double mToMs = 0.0;
  double mRateFactor = 1.0;
};

/** How entries choose. */
enum class Policy
{
  /** By the prefix's order alone. */
  kPrefixOrder,
  /** By expected time, from what the entry itself has sent. */
  kOwnSends,
  /** By expected time, asking the coordinators of the first few. */
  kCoordinators,
};

struct Arrival
{
  double mAtMs = 0.0;
  PromptParts mPrompt;
  int mEntry = 0;
  /** When its caller asked first, and how often it was refused since. */
  double mFirstSentMs = 0.0;
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
  double mPromptTokens = 0.0;
  double mPrefilledTokens = 0.0;
};

/** Of the prompts that came within a time. */
struct Outcome
{
  double mOnTimeFraction = 0.0;
  double mP95Ms = 0.0;
  /** Refused for good. */
  double mRefusedFraction = 0.0;
  /** Tokens read, as a part of those asked for. */
  double mPrefilledFraction = 0.0;
};

std::vector<Arrival>
MakeLoad(const Deployment& aDeployment,
         unsigned aSeed,
         const std::vector<Phase>& aPhases = {});

/** Entries and engines, with the choice of one policy or another. */
class LoadSimulation
{
public:
  LoadSimulation(const Deployment& aDeployment, Policy aPolicy);

  void Run(const std::vector<Arrival>& aLoad);
  Outcome OutcomeBetween(double aFromMs, double aToMs) const;
  Outcome OverallOutcome() const
  {
    return OutcomeBetween(0.0, mDeployment.mDurationMs);
  }

private:
  struct Engine
  {
    EmulatedEngine mEngine;
    PrefixCacheModel mCache;
  };

  struct InFlightSend
  {
    std::size_t mServedIndex = 0;
    std::size_t mEngine = 0;
    int mEntry = 0;
    bool mBegun = false;
    SentRequest mSent;
  };

  UpstreamSelector IdleSelector() const;
  UpstreamSelector& SelectorOf(int aEntry);
  UpstreamChoice Choose(const Arrival& aOne, bool aUseLongShortlist);
  std::optional<Duration> RetryAfter(const Arrival& aOne,
                                     const UpstreamChoice& aChoice) const;
  void Refuse(const Arrival& aOne, Duration aRetryAfter);
  void ServeRetries(double aMs);
  void HandleArrival(const Arrival& aOne);
  double TokensToCompute(const Engine& aEngine,
                         const PromptParts& aPrompt,
                         const std::optional<Address>& aPrefixSource) const;
  void Serve(const Arrival& aOne, const UpstreamChoice& aChoice);
  template<typename Message>
  void SendToCoordinator(double aMs, const Message& aMessage);
  void DeliverMessages(double aMs);
  void HandleEngineEvent(const EngineEvent& aEvent);
  void CancelTimedOut(double aMs);
  void AdvanceTo(double aMs);

  Deployment mDeployment;
  Policy mPolicy;
  std::vector<Engine> mEngines;
  std::vector<UpstreamSelector> mSelectors;
  LoadCoordinator mCoordinator;
  std::mt19937 mRandom{ 1 };
  std::vector<Served> mServed;
  /** Who was told to come back, by when that is. */
  std::multimap<double, Arrival> mRetries;
  std::map<std::uint64_t, InFlightSend> mInFlightSends;
  std::uint64_t mLastSend = 0;
  /** The oldest send that may still have to be given up. */
  std::uint64_t mOldestWaitingSend = 1;
  /** Of the engines, not yet known to the entries, by time. */
  std::vector<EngineEvent> mEvents;
  std::deque<std::pair<double, std::function<void(TimePoint)>>> mMessages;
};

} // namespace peridotspool::gateway
