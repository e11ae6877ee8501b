#include "routing/QuarantineSimulation.h"

#include "peridotspool/routing/CrashReporter.h"
#include "peridotspool/routing/QuarantineGate.h"
#include "peridotspool/routing/QuarantineManager.h"

#include <functional>
#include <map>
#include <random>
#include <vector>

namespace peridotspool::routing {

namespace {

constexpr int kUpstreams = 40;
constexpr int kStepMs = 5;
constexpr int kSimulatedMs = 60000;
constexpr int kDownMs = 2000;
/** Message delay in one direction, including the receiver's processing. */
constexpr int kMessageMs = 10;
/** Time from a lost response to the refused connection. */
constexpr int kDetectionMs = 5;
constexpr int kDeadlyRunMs = 75;
constexpr int kRunMs = 300;
constexpr int kDeadlineMs = 4000;
constexpr std::uint64_t kPopular = 5;
constexpr std::uint64_t kDeadly = 999;
constexpr std::uint64_t kFirstUnique = 1000;

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

class Simulation
{
public:
  explicit Simulation(QuarantineSimulationOptions aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
    , mEntries(static_cast<std::size_t>(aOptions.mEntries))
    , mIncarnations(kUpstreams, 0)
    , mUpFrom(kUpstreams, 0)
  {
  }

  QuarantineSimulationResult Run()
  {
    for (mNowMs = 0; mNowMs < kSimulatedMs; mNowMs += kStepMs) {
      CrashUpstreams();
      Deliver();
      FinishRuns();
      SendRequests();
      TickProcesses();
    }
    return mResult;
  }

private:
  struct Entry
  {
    QuarantineGate mGate;
    CrashReporter mCrashes;
    /** Contents of the requests that wait at the gate, by tag. */
    std::map<std::uint64_t, std::uint64_t> mWaiting;
  };
  struct Running
  {
    std::size_t mEntry = 0;
    std::uint64_t mContent = 0;
    std::size_t mUpstream = 0;
    int mIncarnation = 0;
    int mSentMs = 0;
    int mEndMs = 0;
    std::uint64_t mPermitTag = 0;
  };

  bool Chance(int aIntervalMs)
  {
    return aIntervalMs > 0 &&
           static_cast<int>(mRandom() % static_cast<unsigned>(aIntervalMs)) <
             kStepMs;
  }
  bool IsUp(std::size_t aUpstream) const
  {
    return mUpFrom[aUpstream] <= mNowMs;
  }
  void After(int aMs, std::function<void()> aCall)
  {
    mMessages.emplace(mNowMs + aMs, std::move(aCall));
  }
  static Address AddressOf(std::size_t aEntry)
  {
    return { "entry", static_cast<std::uint16_t>(aEntry) };
  }

  void Crash(std::size_t aUpstream)
  {
    if (!IsUp(aUpstream)) {
      return;
    }
    ++mResult.mCrashes;
    ++mIncarnations[aUpstream];
    mUpFrom[aUpstream] = mNowMs + kDownMs;
  }

  void CrashUpstreams()
  {
    if (mOptions.mMassCrashIntervalMs > 0 &&
        mNowMs % mOptions.mMassCrashIntervalMs == 0) {
      for (std::size_t i = 0; i < kUpstreams; i += 2) {
        After(static_cast<int>(mRandom() % 100), [this, i] { Crash(i); });
      }
    }
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      if (Chance(mOptions.mMeanCrashIntervalMs)) {
        Crash(i);
      }
    }
  }

  void Deliver()
  {
    while (!mMessages.empty() && mMessages.begin()->first <= mNowMs) {
      const auto call = std::move(mMessages.begin()->second);
      mMessages.erase(mMessages.begin());
      call();
    }
  }

  void SendRequests()
  {
    for (std::size_t entry = 0; entry < mEntries.size(); ++entry) {
      if (Chance(mOptions.mRequestIntervalMs)) {
        const bool popular = mRandom() % 2 == 0;
        ReceiveRequest(entry, popular ? mRandom() % kPopular : ++mLastUnique);
      }
    }
    if (Chance(mOptions.mDeadlyIntervalMs)) {
      ReceiveRequest(mRandom() % mEntries.size(), kDeadly);
    }
  }

  void ReceiveRequest(std::size_t aEntry, std::uint64_t aContent)
  {
    Entry& entry = mEntries[aEntry];
    ++mResult.mSent;
    const GateResult result =
      entry.mGate.Check({ { .mLow = aContent } },
                        std::chrono::milliseconds(kDeadlineMs),
                        At(mNowMs));
    if (result.mOutcome == GateOutcome::kWaitsForPermit) {
      entry.mWaiting[result.mTag] = aContent;
      RequestPermit(aEntry, result.mPermitRequest);
    } else {
      Proceed(aEntry, aContent, result.mOutcome, 0);
    }
  }

  void RequestPermit(std::size_t aEntry, const PermitRequest& aRequest)
  {
    After(kMessageMs, [this, aEntry, aRequest] {
      const PermitResponse result = mManager.HandlePermitRequest(
        AddressOf(aEntry), aRequest, mTable, At(mNowMs));
      After(kMessageMs, [this, aEntry, result] {
        if (const auto decision =
              mEntries[aEntry].mGate.OnPermitResponse(result)) {
          Decide(aEntry, *decision);
        }
      });
    });
  }

  void Decide(std::size_t aEntry, const GateDecision& aDecided)
  {
    auto& waiting = mEntries[aEntry].mWaiting;
    const auto found = waiting.find(aDecided.mTag);
    if (found != waiting.end()) {
      const std::uint64_t content = found->second;
      waiting.erase(found);
      const bool hasPermit = aDecided.mOutcome == GateOutcome::kHasPermit;
      Proceed(
        aEntry, content, aDecided.mOutcome, hasPermit ? aDecided.mTag : 0);
    }
  }

  void Proceed(std::size_t aEntry,
               std::uint64_t aContent,
               GateOutcome aOutcome,
               std::uint64_t aPermitTag)
  {
    if (aOutcome == GateOutcome::kRefused ||
        aOutcome == GateOutcome::kPermitTimeout) {
      if (aContent != kDeadly) {
        ++(aOutcome == GateOutcome::kRefused ? mResult.mRefused
                                             : mResult.mPermitTimeouts);
      }
      return;
    }
    std::size_t upstream = mRandom() % kUpstreams;
    for (int i = 0; i < kUpstreams && !IsUp(upstream); ++i) {
      upstream = (upstream + 1) % kUpstreams;
    }
    if (aContent == kDeadly) {
      ++mResult.mDeadlySent;
      mResult.mDeadlySentLate +=
        mDeadlyCrashes >= 3 && mNowMs > mThirdCrashMs + 3000 ? 1 : 0;
    }
    const int run = aContent == kDeadly ? kDeadlyRunMs : kRunMs;
    mRunning.push_back({ .mEntry = aEntry,
                         .mContent = aContent,
                         .mUpstream = upstream,
                         .mIncarnation = mIncarnations[upstream],
                         .mSentMs = mNowMs,
                         .mEndMs = mNowMs + run,
                         .mPermitTag = aPermitTag });
  }

  void FinishRuns()
  {
    for (const Running& run : mRunning) {
      const bool ends = run.mContent == kDeadly && run.mEndMs <= mNowMs &&
                        run.mIncarnation == mIncarnations[run.mUpstream];
      if (ends) {
        Crash(run.mUpstream);
        mThirdCrashMs = ++mDeadlyCrashes == 3 ? mNowMs : mThirdCrashMs;
      }
    }
    std::vector<Running> still;
    for (const Running& run : mRunning) {
      if (run.mIncarnation != mIncarnations[run.mUpstream]) {
        Lose(run);
      } else if (run.mEndMs > mNowMs) {
        still.push_back(run);
      } else {
        Answer(run);
      }
    }
    mRunning = std::move(still);
  }

  // The caller resends a request whose response was lost.
  void Lose(const Running& aRun)
  {
    Entry& entry = mEntries[aRun.mEntry];
    entry.mGate.Lost(aRun.mPermitTag, At(mNowMs));
    const UpstreamCrash crash{
      .mUpstream = { .mName = UpstreamName(std::to_string(aRun.mUpstream)),
                     .mIncarnation = Incarnation(
                       static_cast<std::uint64_t>(aRun.mIncarnation) + 1) },
      .mLost = { { .mContent = { .mLow = aRun.mContent },
                   .mSentAt = At(aRun.mSentMs),
                   .mLostAt = At(mNowMs),
                   .mHadPermit = aRun.mPermitTag != 0 } }
    };
    After(kDetectionMs, [this, at = aRun.mEntry, crash] {
      mEntries[at].mCrashes.Add(crash);
    });
    if (aRun.mContent != kDeadly) {
      const std::size_t next = mRandom() % mEntries.size();
      After(100, [this, next, content = aRun.mContent] {
        ReceiveRequest(next, content);
      });
    }
  }

  void Answer(const Running& aRun)
  {
    Entry& entry = mEntries[aRun.mEntry];
    const GateRequest request{ .mContent = { .mLow = aRun.mContent } };
    for (const RunEnded& ended : entry.mGate.Answered(
           aRun.mPermitTag, request, AnswerEvidence::kComplete, At(mNowMs))) {
      ReportRunEnded(aRun.mEntry, ended);
    }
  }

  void ReportRunEnded(std::size_t aEntry, const RunEnded& aEnded)
  {
    After(kMessageMs, [this, aEntry, aEnded] {
      mManager.HandleRunEnded(AddressOf(aEntry), aEnded, At(mNowMs));
    });
  }

  void Perform(std::size_t aEntry, const GateActions& aActions)
  {
    for (const PermitRequest& request : aActions.mPermitRequests) {
      RequestPermit(aEntry, request);
    }
    for (const RunEnded& ended : aActions.mEnded) {
      ReportRunEnded(aEntry, ended);
    }
    for (const GateDecision& decision : aActions.mDecisions) {
      Decide(aEntry, decision);
    }
  }

  void TickProcesses()
  {
    for (std::size_t i = 0; i < mEntries.size(); ++i) {
      Entry& entry = mEntries[i];
      if (auto report = entry.mCrashes.Report(At(mNowMs))) {
        After(kMessageMs, [this, i, report] {
          const auto ack =
            mManager.HandleReport(AddressOf(i), *report, mTable, At(mNowMs));
          mEntries[i].mCrashes.OnAck(ack);
        });
      }
      if (mNowMs % 50 == 0) {
        Perform(i, entry.mGate.Tick(At(mNowMs)));
      }
    }
    if (mNowMs % 100 == 0) {
      for (const QuarantineChange& change :
           mManager.PendingChanges(mTable, At(mNowMs))) {
        mTable.Apply(change);
      }
      for (std::size_t i = 0; i < mEntries.size(); ++i) {
        const auto update = mTable.UpdateSince(mEntries[i].mGate.KnownNumber());
        After(kMessageMs, [this, i, update] {
          Perform(i, mEntries[i].mGate.ApplyUpdate(update, At(mNowMs)));
        });
      }
    }
  }

  const QuarantineSimulationOptions mOptions;
  std::mt19937 mRandom;
  std::vector<Entry> mEntries;
  QuarantineManager mManager;
  QuarantineTable mTable;
  std::vector<int> mIncarnations;
  std::vector<int> mUpFrom;
  std::vector<Running> mRunning;
  std::multimap<int, std::function<void()>> mMessages;
  std::uint64_t mLastUnique = kFirstUnique;
  int mNowMs = 0;
  int mDeadlyCrashes = 0;
  int mThirdCrashMs = 0;
  QuarantineSimulationResult mResult;
};

} // namespace

QuarantineSimulationResult
SimulateQuarantine(const QuarantineSimulationOptions& aOptions)
{
  return Simulation(aOptions).Run();
}

} // namespace peridotspool::routing
