#include "PolicyModel.h"

#include "EntryPolicy.h"
#include "peridotspool/base/Overloaded.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <numeric>
#include <queue>

namespace peridotspool::bench {

namespace {

/** A request on its way. */
struct Job
{
  ModelRequest mRequest;
  std::uint32_t mEntry = 0;
  std::uint32_t mRunner = 0;
  double mArrived = 0;
  double mStarted = 0;
  double mFirstToken = 0;
  double mEnds = 0;
  double mCached = 0;
  bool mRuns = false;
  /** Counts the starts: the end of an earlier one is void. */
  std::uint64_t mStarts = 0;
};

/** An engine: slots, a queue, and a cache of prompts' shared parts. */
struct Runner
{
  std::deque<std::uint64_t> mQueue;
  std::vector<std::uint64_t> mRunning;
  std::list<std::uint32_t> mCache;
  std::uint64_t mSequence = 0;
  bool mLeaving = false;
  bool mGone = false;
};

/** A small discrete model: engines with queues, entries with lagged reports. */
class Model
{
public:
  Model(PolicyKind aPolicy, const ModelOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
    , mRunners(aOptions.mRunners.size())
  {
    for (std::uint32_t entry = 0; entry < aOptions.mEntries; ++entry) {
      mEntries.push_back(
        MakePolicy(aPolicy, aOptions, aOptions.mSeed * 1000 + entry));
    }
  }

  ModelResult Run()
  {
    for (std::uint32_t runner = 0; runner < mRunners.size(); ++runner) {
      SayReport(runner, 0, true);
      After(Uniform() * mOptions.mReportEvery,
            [this, runner] { ReportAgain(runner); });
    }
    After(0.3, [this] { Arrive(); });
    if (mOptions.mWave) {
      After(mOptions.mReclaim.mAtSecond, [this] { Notice(); });
      After(mOptions.mReclaim.mAtSecond + mOptions.mReclaim.mNoticeSeconds,
            [this] { Reclaim(); });
    }
    while (!mEvents.empty() && mEvents.top().mAt < mOptions.mSeconds) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      event.mWhat();
    }
    return Result();
  }

private:
  struct Event
  {
    double mAt;
    std::uint64_t mOrder;
    std::function<void()> mWhat;

    bool operator<(const Event& aOther) const
    {
      return std::pair(mAt, mOrder) > std::pair(aOther.mAt, aOther.mOrder);
    }
  };

  double Uniform()
  {
    return static_cast<double>(mRandom.Next() >> 11) / 9007199254740992.0;
  }
  double Exponential(double aMean) { return -aMean * std::log1p(-Uniform()); }

  void After(double aDelay, std::function<void()> aWhat)
  {
    mEvents.push({ mNow + aDelay, ++mOrder, std::move(aWhat) });
  }

  void Arrive()
  {
    After(Exponential(1 / mOptions.mArrivalsPerSecond), [this] { Arrive(); });
    Job job;
    job.mRequest.mId = ++mIds;
    // A few groups are asked for much more than the rest.
    job.mRequest.mGroup =
      static_cast<std::uint32_t>(std::pow(Uniform(), 2) * mOptions.mGroups);
    job.mRequest.mPromptTokens = kMeanPrompt * (0.5 + Uniform());
    job.mRequest.mOutputTokens = 20 + Exponential(130);
    job.mEntry = mRandom.Below(mOptions.mEntries);
    job.mArrived = mNow;
    Dispatch(job);
  }

  void Dispatch(Job aJob)
  {
    EntryPolicy& entry = mEntries[aJob.mEntry];
    const auto runner = std::visit(
      [&](auto& aPolicy) { return aPolicy.Choose(aJob.mRequest, mNow); },
      entry);
    if (!runner || mRunners[*runner].mGone) {
      if (runner) {
        TellLost(aJob.mEntry, *runner);
      }
      ++mResult.mRefused;
      return;
    }
    aJob.mRunner = *runner;
    if (auto* router = std::get_if<RealRouter>(&entry)) {
      router->Sent(*runner, aJob.mRequest, mNow);
    }
    mJobs[aJob.mRequest.mId] = aJob;
    mRunners[*runner].mQueue.push_back(aJob.mRequest.mId);
    StartSome(*runner);
  }

  void StartSome(std::uint32_t aRunner)
  {
    Runner& runner = mRunners[aRunner];
    while (runner.mRunning.size() < kSlots && !runner.mQueue.empty()) {
      const std::uint64_t id = runner.mQueue.front();
      runner.mQueue.pop_front();
      runner.mRunning.push_back(id);
      Start(mJobs.at(id), runner);
    }
  }

  void Start(Job& aJob, Runner& aRunner)
  {
    const RunnerSpec& spec = mOptions.mRunners[aJob.mRunner];
    const double busy = static_cast<double>(aRunner.mRunning.size()) / kSlots;
    aJob.mCached = UseCache(aRunner, aJob.mRequest.mGroup)
                     ? kSharedPart * aJob.mRequest.mPromptTokens
                     : 0;
    const double prompt = (aJob.mRequest.mPromptTokens - aJob.mCached) *
                          kPromptSeconds * (1 + busy) / spec.mSpeed;
    const double tokens = aJob.mRequest.mOutputTokens * kTokenSeconds *
                          (1 + 0.5 * busy) / spec.mSpeed;
    aJob.mRuns = true;
    aJob.mStarted = mNow;
    aJob.mFirstToken = mNow + prompt;
    aJob.mEnds = aJob.mFirstToken + tokens;
    const std::uint64_t id = aJob.mRequest.mId;
    const std::uint64_t starts = ++aJob.mStarts;
    After(prompt + tokens, [this, id, starts] { End(id, starts); });
  }

  bool UseCache(Runner& aRunner, std::uint32_t aGroup)
  {
    const auto found =
      std::find(aRunner.mCache.begin(), aRunner.mCache.end(), aGroup);
    const bool hit = found != aRunner.mCache.end();
    if (hit) {
      aRunner.mCache.erase(found);
    }
    aRunner.mCache.push_front(aGroup);
    if (aRunner.mCache.size() > mOptions.mCachedGroups) {
      aRunner.mCache.pop_back();
    }
    return hit;
  }

  void End(std::uint64_t aId, std::uint64_t aStarts)
  {
    const auto found = mJobs.find(aId);
    if (found == mJobs.end() || found->second.mStarts != aStarts) {
      return;
    }
    const Job job = found->second;
    mJobs.erase(found);
    Runner& runner = mRunners[job.mRunner];
    std::erase(runner.mRunning, aId);
    mResult.mUsedCost +=
      mOptions.mRunners[job.mRunner].mPrice * (mNow - job.mStarted) / kSlots;
    if (job.mArrived > mOptions.mWarmupSeconds) {
      mFirstTokens.push_back(job.mFirstToken - job.mArrived);
      mHits += job.mCached > 0 ? 1 : 0;
    }
    if (auto* router = std::get_if<RealRouter>(&mEntries[job.mEntry])) {
      router->Ended(job.mRunner, job.mRequest, job.mCached, mNow);
    }
    StartSome(job.mRunner);
  }

  void ReportAgain(std::uint32_t aRunner)
  {
    if (mRunners[aRunner].mGone) {
      return;
    }
    SayReport(aRunner, mOptions.mReportLagMost, false);
    After(mOptions.mReportEvery, [this, aRunner] { ReportAgain(aRunner); });
  }

  void SayReport(std::uint32_t aRunner, double aLagMost, bool aAtOnce)
  {
    Runner& runner = mRunners[aRunner];
    const ModelReport report{
      .mRunner = aRunner,
      .mSequence = ++runner.mSequence,
      .mRunning = static_cast<std::uint32_t>(runner.mRunning.size()),
      .mWaiting = static_cast<std::uint32_t>(runner.mQueue.size()),
      .mLeaving = runner.mLeaving,
      .mTime = mNow
    };
    for (std::uint32_t entry = 0; entry < mEntries.size(); ++entry) {
      const auto tell = [this, entry, report] {
        std::visit([&](auto& aPolicy) { aPolicy.Report(report, mNow); },
                   mEntries[entry]);
      };
      if (aAtOnce) {
        tell();
      } else {
        After(0.02 + Uniform() * aLagMost, tell);
      }
    }
  }

  void TellLost(std::uint32_t aEntry, std::uint32_t aRunner)
  {
    std::visit(
      Overloaded{ [&](RealRouter& aRouter) { aRouter.Lost(aRunner, mNow); },
                  [&](auto& aPolicy) { aPolicy.Lost(aRunner); } },
      mEntries[aEntry]);
  }

  bool IsReclaimed(std::uint32_t aRunner) const
  {
    return mOptions.mRunners[aRunner].mDomain == mOptions.mReclaim.mDomain;
  }

  void Notice()
  {
    for (std::uint32_t runner = 0; runner < mRunners.size(); ++runner) {
      if (IsReclaimed(runner)) {
        mRunners[runner].mLeaving = true;
        SayReport(runner, mOptions.mReportLagMost, false);
      }
    }
  }

  void Reclaim()
  {
    std::vector<Job> lost;
    for (std::uint32_t runner = 0; runner < mRunners.size(); ++runner) {
      if (!IsReclaimed(runner)) {
        continue;
      }
      mRunners[runner].mGone = true;
      mRunners[runner].mQueue.clear();
      mRunners[runner].mRunning.clear();
      for (std::uint32_t entry = 0; entry < mEntries.size(); ++entry) {
        TellLost(entry, runner);
      }
    }
    for (const auto& [id, job] : mJobs) {
      if (IsReclaimed(job.mRunner)) {
        lost.push_back(job);
      }
    }
    for (Job& job : lost) {
      mResult.mRecomputedTokens += ComputedTokens(job);
      mJobs.erase(job.mRequest.mId);
      job.mRuns = false;
      ++job.mStarts;
      Dispatch(job);
    }
  }

  /** Returns the tokens that were computed for a request that is lost. */
  double ComputedTokens(const Job& aJob) const
  {
    if (!aJob.mRuns) {
      return 0;
    }
    const double prompt = aJob.mRequest.mPromptTokens - aJob.mCached;
    if (mNow < aJob.mFirstToken) {
      return prompt * (mNow - aJob.mStarted) /
             (aJob.mFirstToken - aJob.mStarted);
    }
    return prompt + aJob.mRequest.mOutputTokens * (mNow - aJob.mFirstToken) /
                      (aJob.mEnds - aJob.mFirstToken);
  }

  ModelResult Result()
  {
    std::sort(mFirstTokens.begin(), mFirstTokens.end());
    mResult.mRequests = mFirstTokens.size();
    if (!mFirstTokens.empty()) {
      const auto count = static_cast<double>(mFirstTokens.size());
      mResult.mFirstTokenP95 =
        mFirstTokens[static_cast<std::size_t>(0.95 * (count - 1))];
      mResult.mFirstTokenMean =
        std::accumulate(mFirstTokens.begin(), mFirstTokens.end(), 0.0) / count;
      mResult.mCacheHits = static_cast<double>(mHits) / count;
    }
    return mResult;
  }

  const ModelOptions& mOptions;
  routing::RandomSource mRandom;
  std::vector<Runner> mRunners;
  std::vector<EntryPolicy> mEntries;
  std::priority_queue<Event> mEvents;
  std::map<std::uint64_t, Job> mJobs;
  std::vector<double> mFirstTokens;
  ModelResult mResult;
  std::uint64_t mHits = 0;
  std::uint64_t mIds = 0;
  std::uint64_t mOrder = 0;
  double mNow = 0;
};

} // namespace

ModelResult
RunModel(PolicyKind aPolicy, const ModelOptions& aOptions)
{
  return Model(aPolicy, aOptions).Run();
}

std::string
NameOf(PolicyKind aPolicy)
{
  switch (aPolicy) {
    case PolicyKind::kRoundRobin:
      return "round_robin";
    case PolicyKind::kLeastReported:
      return "least_reported";
    case PolicyKind::kPowerOfTwo:
      return "power_of_two";
    case PolicyKind::kPowerOfTwoHeeding:
      return "power_of_two_heeding";
    case PolicyKind::kRouter:
      break;
  }
  return "router";
}

} // namespace peridotspool::bench
