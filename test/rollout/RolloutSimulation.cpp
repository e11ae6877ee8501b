#include "rollout/RolloutSimulation.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>
#include <queue>
#include <random>

namespace peridotspool::rollout {

namespace {

using std::chrono::milliseconds;

const ServiceName kService("service");
const VersionName kOld("v1");
const VersionName kNew("v2");
constexpr int kStepMs = 5;
constexpr int kReportMs = 300;
constexpr int kMessageMs = 3;
constexpr int kCommitMs = 10;
constexpr int kElectionMs = 1200;
constexpr int kMarginMs = 8000;
constexpr std::uint64_t kBadAnswersUntilDue = 50;
constexpr int kRollBackMs = 5000;
constexpr double kExposeShare = 0.1;
constexpr double kExposeSlack = 50.0;
constexpr double kColdCacheFactor = 1.4;
constexpr std::int64_t kEpochMicros = 1700000000000000;

struct Running
{
  int mEndsMs = 0;
  int mEntry = 0;
  bool mIsNew = false;
  int mUpstream = 0;
  VersionAnswer mAnswer;
  bool mIsBad = false;

  bool operator>(const Running& aOther) const
  {
    return mEndsMs > aOther.mEndsMs;
  }
};

struct Entry
{
  RolloutGate mGate;
  std::uint64_t mOldRunning = 0;
  int mDisruptedUntilMs = 0;
  bool mIsFrozen = false;
};

class Simulation
{
public:
  explicit Simulation(const RolloutSimulationOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
    , mRandom64(aOptions.mSeed)
    , mEntries(static_cast<std::size_t>(aOptions.mEntries))
    , mLoad(static_cast<std::size_t>(aOptions.mUpstreamsEach))
    , mHasGrayFailure(static_cast<std::size_t>(2 * aOptions.mUpstreamsEach))
  {
    for (auto&& hasGrayFailure : mHasGrayFailure) {
      hasGrayFailure = Chance(mOptions.mGrayFailureShare);
    }
    mTable.Start({ .mService = kService,
                   .mTo = kNew,
                   .mDuration = milliseconds(mOptions.mDurationMs),
                   .mOrderedMicros = kEpochMicros });
    mController.emplace(Options());
  }

  RolloutSimulationOutcome Run()
  {
    for (; mNowMs < mOptions.mDurationMs + kMarginMs; mNowMs += kStepMs) {
      KillLeader();
      Disrupt();
      Finish();
      Send();
      Report();
      StepLeader();
      Deliver();
    }
    const double maxNew =
      kExposeShare * static_cast<double>(mOutcome.mRequests) + kExposeSlack;
    mOutcome.mOverExposed = static_cast<double>(mOutcome.mNew) > maxNew;
    return mOutcome;
  }

private:
  /** A callback that runs at a later time. */
  struct DelayedCall
  {
    int mAtMs = 0;
    std::function<void()> mCall;
  };

  static RolloutOptions Options()
  {
    return { .mMaxExposureShare = kExposeShare,
             .mExposureSlack = kExposeSlack };
  }
  bool Chance(double aPart)
  {
    return std::uniform_real_distribution<>(0.0, 1.0)(mRandom) < aPart;
  }
  int Draw(int aBelow)
  {
    return std::uniform_int_distribution<>(0, aBelow - 1)(mRandom);
  }
  TimePoint Now() const
  {
    return TimePoint(std::chrono::seconds(1000) + milliseconds(mNowMs));
  }
  std::int64_t Micros() const { return kEpochMicros + mNowMs * 1000LL; }
  const Rollout& Latest() const { return *mTable.Latest(kService); }

  void SendMessage(std::function<void()> aCall)
  {
    if (!Chance(mOptions.mMessageLoss)) {
      mDelayedCalls.push_back(
        { mNowMs + kMessageMs + Draw(10), std::move(aCall) });
    }
  }

  void KillLeader()
  {
    const bool byBad = mOptions.mLeaderKilledAtBad != 0 &&
                       mOutcome.mBadAnswers >= mOptions.mLeaderKilledAtBad;
    const bool byTime =
      mOptions.mLeaderKilledMs != 0 && mNowMs >= mOptions.mLeaderKilledMs;
    if (!mWasKilled && (byBad || byTime)) {
      mWasKilled = true;
      mController.reset();
      mNextLeaderMs = mNowMs + kElectionMs;
    }
    if (!mController && mNowMs >= mNextLeaderMs) {
      ++mTerm;
      mController.emplace(Options());
    }
  }

  void Disrupt()
  {
    if (mOptions.mDisruptionPeriodMs == 0) {
      return;
    }
    const double part =
      static_cast<double>(kStepMs) / mOptions.mDisruptionPeriodMs;
    for (Entry& entry : mEntries) {
      if (mNowMs >= entry.mDisruptedUntilMs && Chance(part)) {
        entry.mDisruptedUntilMs = mNowMs + 1000;
        entry.mIsFrozen = Chance(0.5);
      }
    }
  }
  bool IsDisrupted(const Entry& aEntry) const
  {
    return mNowMs < aEntry.mDisruptedUntilMs;
  }

  void Finish()
  {
    while (!mRunning.empty() && mRunning.top().mEndsMs <= mNowMs) {
      const Running one = mRunning.top();
      mRunning.pop();
      Entry& entry = mEntries[static_cast<std::size_t>(one.mEntry)];
      entry.mGate.RecordAnswer(one.mAnswer);
      if (one.mIsNew) {
        --mLoad[static_cast<std::size_t>(one.mUpstream)];
        mOutcome.mBadAnswers += one.mIsBad ? 1 : 0;
        if (mOutcome.mBadAnswers == kBadAnswersUntilDue && mDueMs == 0) {
          mDueMs = mNowMs + kRollBackMs;
        }
      } else {
        --entry.mOldRunning;
      }
    }
  }

  void Send()
  {
    const double each = mOptions.mRequestsPerSecond * kStepMs / 1000.0;
    const int count = std::poisson_distribution<>(each)(mRandom);
    for (int i = 0; i < count; ++i) {
      SendOne(Draw(mOptions.mEntries));
    }
  }

  void SendOne(int aEntry)
  {
    Entry& entry = mEntries[static_cast<std::size_t>(aEntry)];
    if (entry.mIsFrozen && IsDisrupted(entry)) {
      return;
    }
    const auto each = static_cast<std::size_t>(mOptions.mUpstreamsEach);
    const ReadyByVersion ready = { { kOld, each }, { kNew, each } };
    const int kind = Draw(20);
    const std::string route = kind < 3 ? "rare" : kind < 10 ? "some" : "most";
    const VersionChoice choice =
      entry.mGate.ChooseFirst(kService, route, mRandom64(), ready, Now());
    const bool mayOld = choice.mFilter.Allows(kOld);
    const bool mayNew = choice.mFilter.Allows(kNew);
    if (!mayOld && !mayNew) {
      return;
    }
    const bool isNew = mayNew && (!mayOld || Chance(0.5));
    const int maxUpstreams = choice.mFilter.mMaxUpstreams == 0
                               ? mOptions.mUpstreamsEach
                               : static_cast<int>(choice.mFilter.mMaxUpstreams);
    entry.mGate.RecordSent(kService);
    Begin(aEntry,
          route,
          isNew,
          Draw(std::min(maxUpstreams, mOptions.mUpstreamsEach)));
  }

  void Begin(int aEntry, const std::string& aRoute, bool aIsNew, int aUpstream)
  {
    const std::size_t place = static_cast<std::size_t>(
      aUpstream + (aIsNew ? mOptions.mUpstreamsEach : 0));
    bool failed = mHasGrayFailure[place] && Chance(0.4);
    double took =
      mOptions.mMeanMs * std::lognormal_distribution<>(0.0, 0.35)(mRandom);
    bool isBad = false;
    if (aIsNew) {
      took *= kColdCacheFactor;
      const VersionFault& fault = mOptions.mFault;
      const int load = mLoad[static_cast<std::size_t>(aUpstream)]++;
      const bool applies = mNowMs >= fault.mFromMs &&
                           load >= fault.mAboveLoad &&
                           (!fault.mRareRouteOnly || aRoute == "rare");
      const bool fails = applies && Chance(fault.mFails);
      const bool slows = applies && Chance(fault.mSlows);
      failed = failed || fails;
      took *= slows ? fault.mSlowTimes : 1.0;
      isBad = fails || slows;
      ++mNewSent;
      mOutcome.mLate += mDueMs != 0 && mNowMs > mDueMs ? 1 : 0;
    } else {
      ++mEntries[static_cast<std::size_t>(aEntry)].mOldRunning;
    }
    if (mNowMs < mOptions.mDurationMs) {
      ++mOutcome.mRequests;
      mOutcome.mNew += aIsNew ? 1 : 0;
    }
    mRunning.push(
      { .mEndsMs = mNowMs + static_cast<int>(took),
        .mEntry = aEntry,
        .mIsNew = aIsNew,
        .mUpstream = aUpstream,
        .mAnswer = { .mService = kService,
                     .mVersion = aIsNew ? kNew : kOld,
                     .mUpstream = UpstreamName((aIsNew ? "n" : "o") +
                                               std::to_string(aUpstream)),
                     .mRoute = aRoute,
                     .mFailed = failed,
                     .mPace = milliseconds(static_cast<int>(took)),
                     .mFirstEvent = {},
                     .mTotalTime = milliseconds(static_cast<int>(took)) },
        .mIsBad = isBad });
  }

  void Report()
  {
    for (std::size_t i = 0; i < mEntries.size(); ++i) {
      Entry& entry = mEntries[i];
      const bool isDue =
        (mNowMs + static_cast<int>(i) * kStepMs) % kReportMs == 0;
      if (!isDue || IsDisrupted(entry)) {
        continue;
      }
      const RolloutReport report = entry.mGate.Report(
        i + 1,
        [&](const auto&, const auto&) { return entry.mOldRunning; },
        Now());
      SendMessage([this, report, i] {
        if (mController) {
          mController->HandleReport(report, mTerm, Now());
          SendUpdate(i);
        }
      });
    }
  }

  void SendUpdate(std::size_t aEntry)
  {
    const RolloutUpdate update =
      mController->UpdateFor(aEntry + 1, mTable, mTerm);
    SendMessage([this, update, aEntry] {
      if (!IsDisrupted(mEntries[aEntry])) {
        mEntries[aEntry].mGate.ApplyUpdate(update, Now());
      }
    });
  }

  void StepLeader()
  {
    if (!mController || mNowMs % 100 != 0) {
      return;
    }
    const auto each = static_cast<std::uint32_t>(mOptions.mUpstreamsEach);
    const RolloutStep step =
      mController->Step(mTable,
                        { { kService, { .mOld = each, .mNew = each } } },
                        Micros(),
                        Now());
    for (const RolloutChange& change : step.mChanges) {
      mDelayedCalls.push_back(
        { mNowMs + kCommitMs, [this, change] { Commit(change); } });
    }
    if (!step.mNotices.empty() || mSentNumber != mTable.mNumber) {
      mSentNumber = mTable.mNumber;
      for (std::size_t i = 0; i < mEntries.size(); ++i) {
        SendUpdate(i);
      }
    }
  }

  void Commit(const RolloutChange& aChange)
  {
    if (const auto* advance = std::get_if<RolloutAdvance>(&aChange)) {
      mTable.Advance(*advance);
    } else if (mTable.End(std::get<RolloutEnd>(aChange))) {
      mOutcome.mState = Latest().mState;
      mOutcome.mReason = Latest().mReason;
      mOutcome.mEndedMs = mNowMs;
      if (mOutcome.mState == RolloutState::kCompleted) {
        for (const Entry& entry : mEntries) {
          mOutcome.mInterrupted += entry.mOldRunning;
        }
      }
    }
  }

  void Deliver()
  {
    std::vector<DelayedCall> due;
    std::erase_if(mDelayedCalls, [&](DelayedCall& aOne) {
      const bool isDue = aOne.mAtMs <= mNowMs;
      if (isDue) {
        due.push_back(std::move(aOne));
      }
      return isDue;
    });
    for (DelayedCall& one : due) {
      one.mCall();
    }
  }

  RolloutSimulationOptions mOptions;
  std::mt19937 mRandom;
  std::mt19937_64 mRandom64;
  std::vector<Entry> mEntries;
  std::vector<int> mLoad;
  std::vector<bool> mHasGrayFailure;
  RolloutTable mTable;
  std::optional<RolloutController> mController;
  std::uint64_t mTerm = 1;
  std::uint64_t mSentNumber = 0;
  int mNowMs = 0;
  bool mWasKilled = false;
  int mNextLeaderMs = 0;
  int mDueMs = 0;
  std::uint64_t mNewSent = 0;
  std::priority_queue<Running, std::vector<Running>, std::greater<>> mRunning;
  std::vector<DelayedCall> mDelayedCalls;
  RolloutSimulationOutcome mOutcome;
};

} // namespace

RolloutSimulationOutcome
SimulateRollout(const RolloutSimulationOptions& aOptions)
{
  return Simulation(aOptions).Run();
}

} // namespace peridotspool::rollout
