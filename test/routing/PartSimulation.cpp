#include "routing/PartSimulation.h"

#include "peridotspool/routing/CrashReporter.h"
#include "peridotspool/routing/QuarantineGate.h"
#include "peridotspool/routing/QuarantineLeader.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <vector>

namespace peridotspool::routing {

namespace {

constexpr int kStepMs = 5;
constexpr int kDownMs = 2000;
/** Message delay in one direction, including the receiver's processing. */
constexpr int kMessageMs = 10;
/** Time from a lost response to the refused connection. */
constexpr int kDetectionMs = 5;
constexpr int kDeadlyRunMs = 90;
constexpr int kContactMs = 3000;
constexpr int kDeadlineMs = 4000;
constexpr std::size_t kCrashesAllowed = 5;
constexpr int kCustomers = 5;
/** Upstreams that refuse a request without running it: one in so many. */
constexpr unsigned kRefusesOneIn = 20;

constexpr std::uint64_t kFirstPart = 100;
constexpr std::uint64_t kSecondPart = 200;
constexpr std::uint64_t kDeadlyPart = 300;
constexpr std::uint64_t kCompanion = 400;
constexpr std::uint64_t kSubject = 1000;
constexpr std::uint64_t kDocument = 2000;

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

class Simulation
{
public:
  explicit Simulation(const PartSimulationOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
    , mEntries(static_cast<std::size_t>(aOptions.mEntries))
    , mIncarnations(static_cast<std::size_t>(aOptions.mUpstreams), 0)
    , mUpFrom(static_cast<std::size_t>(aOptions.mUpstreams), 0)
  {
  }

  PartSimulationResult Run()
  {
    for (mNowMs = 0; mNowMs < mOptions.mSimulatedMs; mNowMs += kStepMs) {
      CrashUpstreams();
      RestartProcesses();
      Deliver();
      FinishRuns();
      SendRequests();
      TickProcesses();
    }
    return Count();
  }

private:
  struct Request
  {
    GateRequest mGate;
    bool mDeadly = false;
    bool mSharesFirst = false;
    int mReceivedMs = 0;
  };
  struct Entry
  {
    QuarantineGate mGate;
    CrashReporter mCrashes;
    std::map<std::uint64_t, Request> mWaiting;
    int mRestartedMs = -2 * kContactMs;
    /** Messages to an earlier process are lost. */
    int mLife = 0;
  };
  struct Running
  {
    std::size_t mEntry = 0;
    int mLife = 0;
    Request mRequest;
    std::size_t mUpstream = 0;
    int mIncarnation = 0;
    int mSentMs = 0;
    int mEndMs = 0;
    bool mRefused = false;
    std::uint64_t mPermitTag = 0;
  };
  struct Seen
  {
    int mAtMs = 0;
    bool mHeldBack = false;
  };

  bool Chance(int aIntervalMs)
  {
    return aIntervalMs > 0 &&
           static_cast<int>(mRandom() % static_cast<unsigned>(aIntervalMs)) <
             kStepMs;
  }
  bool IsDue(int aIntervalMs) const
  {
    return aIntervalMs > 0 && mNowMs > 0 && mNowMs % aIntervalMs == 0;
  }
  bool IsUp(std::size_t aUpstream) const
  {
    return mUpFrom[aUpstream] <= mNowMs;
  }
  void After(int aMs, std::function<void()> aCall)
  {
    mMessages.emplace(mNowMs + aMs, std::move(aCall));
  }
  /** Calls an entry's process later, unless it was restarted meanwhile. */
  void AfterAt(std::size_t aEntry, int aMs, std::function<void(Entry&)> aCall)
  {
    After(aMs, [this, aEntry, life = mEntries[aEntry].mLife, aCall] {
      if (mEntries[aEntry].mLife == life) {
        aCall(mEntries[aEntry]);
      }
    });
  }
  static Address AddressOf(std::size_t aEntry)
  {
    return { "entry", static_cast<std::uint16_t>(aEntry) };
  }

  void Crash(std::size_t aUpstream)
  {
    if (IsUp(aUpstream)) {
      ++mResult.mCrashes;
      ++mIncarnations[aUpstream];
      mUpFrom[aUpstream] = mNowMs + kDownMs;
    }
  }

  void CrashUpstreams()
  {
    if (IsDue(mOptions.mMassCrashIntervalMs)) {
      for (std::size_t i = 0; i < mUpFrom.size(); i += 2) {
        After(static_cast<int>(mRandom() % 100), [this, i] { Crash(i); });
      }
    }
    for (std::size_t i = 0; i < mUpFrom.size(); ++i) {
      if (Chance(mOptions.mMeanCrashIntervalMs)) {
        Crash(i);
      }
    }
  }

  void RestartProcesses()
  {
    const bool all = IsDue(mOptions.mKillAllIntervalMs);
    if (all || Chance(mOptions.mLeaderChangeIntervalMs)) {
      mLeader = QuarantineLeader(mTable, At(mNowMs));
      for (std::size_t i = 0; i < mEntries.size(); ++i) {
        mEntries[i].mCrashes.OnNewLeader();
        for (const RunEnded& ended :
             mEntries[i].mGate.RememberedAnswers(At(mNowMs))) {
          ReportRunEnded(i, ended);
        }
      }
    }
    for (std::size_t i = 0; i < mEntries.size(); ++i) {
      if (all || (Chance(mOptions.mEntryKillIntervalMs *
                         static_cast<int>(mEntries.size())))) {
        const int life = mEntries[i].mLife + 1;
        mEntries[i] = Entry{};
        mEntries[i].mLife = life;
        mEntries[i].mRestartedMs = mNowMs;
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
    if (Chance(mOptions.mRequestIntervalMs)) {
      Receive(mRandom() % mEntries.size(), SoundRequest());
    }
    const bool isDeadly = Chance(mOptions.mDeadlyIntervalMs);
    for (int i = 0; isDeadly && i < mOptions.mDeadlyAtOnce; ++i) {
      Receive(mRandom() % mEntries.size(), DeadlyRequest());
    }
  }

  CustomerName Customer(unsigned aNumber)
  {
    return CustomerName("c" + std::to_string(aNumber));
  }

  Request SoundRequest()
  {
    const unsigned customer = mRandom() % kCustomers;
    const unsigned kind = mRandom() % 10;
    Request request{ .mGate = { .mContent = { .mHigh = 1, .mLow = ++mUnique },
                                .mCustomer = Customer(customer) },
                     .mSharesFirst = kind < 7,
                     .mReceivedMs = mNowMs };
    auto& parts = request.mGate.mParts;
    if (kind < 1) {
      parts = { PromptPartId(kFirstPart), PromptPartId(kSecondPart) };
    } else if (kind < 7) {
      // A few subjects are popular, most are not.
      const unsigned subject = mRandom() % 60 * (mRandom() % 60) / 60;
      parts = { PromptPartId(kFirstPart), PromptPartId(kSubject + subject) };
    } else {
      parts = { PromptPartId(kDocument + mRandom() % 200) };
    }
    return request;
  }

  Request DeadlyRequest()
  {
    const std::uint64_t which =
      mRandom() % static_cast<unsigned>(mOptions.mDeadlyParts);
    Request request{ .mGate = { .mContent = { .mHigh = 1, .mLow = ++mUnique },
                                .mCustomer = Customer(
                                  mRandom() % static_cast<unsigned>(
                                                mOptions.mDeadlyCustomers)) },
                     .mDeadly = true,
                     .mReceivedMs = mNowMs };
    auto& parts = request.mGate.mParts;
    parts = { PromptPartId(kFirstPart), PromptPartId(kSecondPart) };
    for (int i = 0; i < mOptions.mCompanions; ++i) {
      parts.emplace_back(kCompanion + static_cast<unsigned>(i));
    }
    const auto place = std::min<std::ptrdiff_t>(
      mOptions.mDeadlyPlace, static_cast<std::ptrdiff_t>(parts.size()));
    parts.insert(parts.begin() + place, PromptPartId(kDeadlyPart + which));
    return request;
  }

  bool HasFirstDeadlyPart(const Request& aRequest) const
  {
    const auto& parts = aRequest.mGate.mParts;
    return std::find(parts.begin(), parts.end(), PromptPartId(kDeadlyPart)) !=
           parts.end();
  }

  void Receive(std::size_t aEntry, const Request& aRequest)
  {
    Entry& entry = mEntries[aEntry];
    if (!entry.mGate.HasTable()) {
      return;
    }
    const GateResult result = entry.mGate.Check(
      aRequest.mGate, std::chrono::milliseconds(kDeadlineMs), At(mNowMs));
    if (result.mOutcome == GateOutcome::kWaitsForPermit) {
      entry.mWaiting[result.mTag] = aRequest;
      RequestPermit(aEntry, result.mPermitRequest);
    } else {
      Proceed(aEntry, aRequest, result.mOutcome, 0);
    }
  }

  void RequestPermit(std::size_t aEntry, const PermitRequest& aRequest)
  {
    After(kMessageMs, [this, aEntry, aRequest, life = mEntries[aEntry].mLife] {
      const PermitResponse response = mLeader.HandlePermitRequest(
        AddressOf(aEntry), aRequest, mTable, At(mNowMs));
      if (mEntries[aEntry].mLife != life) {
        return;
      }
      AfterAt(aEntry, kMessageMs, [this, aEntry, response](Entry& aOne) {
        if (const auto decision = aOne.mGate.OnPermitResponse(response)) {
          Decide(aEntry, *decision);
        }
      });
    });
  }

  void Decide(std::size_t aEntry, const GateDecision& aDecided)
  {
    auto waiting = mEntries[aEntry].mWaiting.extract(aDecided.mTag);
    if (waiting) {
      const bool hasPermit = aDecided.mOutcome == GateOutcome::kHasPermit;
      Proceed(aEntry,
              waiting.mapped(),
              aDecided.mOutcome,
              hasPermit ? aDecided.mTag : 0);
    }
  }

  void Proceed(std::size_t aEntry,
               const Request& aRequest,
               GateOutcome aOutcome,
               std::uint64_t aPermitTag)
  {
    const bool isRefused = aOutcome == GateOutcome::kRefused;
    const bool isLate = aOutcome == GateOutcome::kPermitTimeout;
    if (!aRequest.mDeadly) {
      ++mResult.mSound;
      mResult.mSoundRefused += isRefused ? 1 : 0;
      mResult.mSoundTimedOut += isLate ? 1 : 0;
      if (aRequest.mSharesFirst) {
        mShared.push_back(
          { .mAtMs = aRequest.mReceivedMs, .mHeldBack = isRefused || isLate });
      }
    }
    if (!isRefused && !isLate) {
      Send(aEntry, aRequest, aPermitTag);
    }
  }

  void Send(std::size_t aEntry,
            const Request& aRequest,
            std::uint64_t aPermitTag)
  {
    std::size_t upstream = mRandom() % mUpFrom.size();
    for (std::size_t i = 0; i < mUpFrom.size() && !IsUp(upstream); ++i) {
      upstream = (upstream + 1) % mUpFrom.size();
    }
    if (!IsUp(upstream)) {
      ReleasePermit(aEntry, aPermitTag);
      return;
    }
    if (aRequest.mDeadly && HasFirstDeadlyPart(aRequest)) {
      mArrivals.push_back(
        { .mAtMs = mNowMs,
          .mHeldBack = mNowMs < mEntries[aEntry].mRestartedMs + kContactMs });
    }
    const int run =
      aRequest.mDeadly ? kDeadlyRunMs : 300 + static_cast<int>(mRandom() % 900);
    mRunning.push_back({ .mEntry = aEntry,
                         .mLife = mEntries[aEntry].mLife,
                         .mRequest = aRequest,
                         .mUpstream = upstream,
                         .mIncarnation = mIncarnations[upstream],
                         .mSentMs = mNowMs,
                         .mEndMs = mNowMs + run,
                         .mRefused = mRandom() % kRefusesOneIn == 0,
                         .mPermitTag = aPermitTag });
  }

  void FinishRuns()
  {
    for (const Running& run : mRunning) {
      if (run.mRequest.mDeadly && !run.mRefused && run.mEndMs <= mNowMs &&
          run.mIncarnation == mIncarnations[run.mUpstream]) {
        Crash(run.mUpstream);
        if (HasFirstDeadlyPart(run.mRequest)) {
          mDeadlyCrashesMs.push_back(mNowMs);
        }
      }
    }
    std::vector<Running> over;
    const auto rest = std::partition(
      mRunning.begin(), mRunning.end(), [&](const Running& aRun) {
        return aRun.mIncarnation == mIncarnations[aRun.mUpstream] &&
               aRun.mEndMs > mNowMs &&
               !(aRun.mRefused && mNowMs - aRun.mSentMs >= kMessageMs);
      });
    over.assign(rest, mRunning.end());
    mRunning.erase(rest, mRunning.end());
    for (const Running& run : over) {
      if (mEntries[run.mEntry].mLife != run.mLife) {
        continue;
      }
      if (run.mIncarnation != mIncarnations[run.mUpstream]) {
        Lose(run);
      } else if (run.mRefused) {
        SendElsewhere(run);
      } else {
        Answer(run);
      }
    }
  }

  void SendElsewhere(const Running& aRun)
  {
    ReleasePermit(aRun.mEntry, aRun.mPermitTag);
    Receive(aRun.mEntry, aRun.mRequest);
  }

  void ReleasePermit(std::size_t aEntry, std::uint64_t aPermitTag)
  {
    if (aPermitTag != 0) {
      ReportRunEnded(aEntry, mEntries[aEntry].mGate.Ended(aPermitTag));
    }
  }

  void Lose(const Running& aRun)
  {
    Entry& entry = mEntries[aRun.mEntry];
    entry.mGate.Lost(aRun.mPermitTag, At(mNowMs));
    const GateRequest& request = aRun.mRequest.mGate;
    const UpstreamCrash crash{
      .mUpstream = { .mName = UpstreamName(std::to_string(aRun.mUpstream)),
                     .mIncarnation = Incarnation(
                       static_cast<std::uint64_t>(aRun.mIncarnation) + 1) },
      .mLost = { { .mContent = request.mContent,
                   .mSentAt = At(aRun.mSentMs),
                   .mLostAt = At(mNowMs),
                   .mHadPermit = aRun.mPermitTag != 0,
                   .mParts = request.mParts,
                   .mCustomer = request.mCustomer } }
    };
    AfterAt(aRun.mEntry, kDetectionMs, [crash](Entry& aOne) {
      aOne.mCrashes.Add(crash);
    });
  }

  void Answer(const Running& aRun)
  {
    for (const RunEnded& ended :
         mEntries[aRun.mEntry].mGate.Answered(aRun.mPermitTag,
                                              aRun.mRequest.mGate,
                                              AnswerEvidence::kComplete,
                                              At(mNowMs))) {
      ReportRunEnded(aRun.mEntry, ended);
    }
  }

  void ReportRunEnded(std::size_t aEntry, const RunEnded& aEnded)
  {
    After(kMessageMs, [this, aEntry, aEnded] {
      mLeader.HandleRunEnded(AddressOf(aEntry), aEnded, At(mNowMs));
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
      if (auto report = mEntries[i].mCrashes.Report(At(mNowMs))) {
        AfterAt(i, kMessageMs, [this, i, report](Entry& aOne) {
          aOne.mCrashes.OnAck(
            mLeader.HandleReport(AddressOf(i), *report, mTable, At(mNowMs)));
        });
      }
      if (mNowMs % 50 == 0) {
        Perform(i, mEntries[i].mGate.Tick(At(mNowMs)));
      }
    }
    if (mNowMs % 100 != 0) {
      return;
    }
    for (const QuarantineChange& change :
         mLeader.PendingChanges(mTable, At(mNowMs))) {
      mTable.Apply(change);
    }
    for (std::size_t i = 0; i < mEntries.size(); ++i) {
      const std::uint64_t known = mEntries[i].mGate.KnownNumber();
      if (known == mTable.mNumber) {
        continue;
      }
      AfterAt(i,
              kMessageMs,
              [this, i, update = mTable.UpdateSince(known)](Entry& aOne) {
                Perform(i, aOne.mGate.ApplyUpdate(update, At(mNowMs)));
              });
    }
  }

  PartSimulationResult Count()
  {
    mResult.mDeadlyCrashes = static_cast<int>(mDeadlyCrashesMs.size());
    if (mDeadlyCrashesMs.empty()) {
      return mResult;
    }
    const std::size_t last =
      std::min(mDeadlyCrashesMs.size(), kCrashesAllowed) - 1;
    if (mDeadlyCrashesMs.size() >= kCrashesAllowed) {
      mResult.mLateArrivals = static_cast<int>(std::count_if(
        mArrivals.begin(), mArrivals.end(), [&](const Seen& aOne) {
          return !aOne.mHeldBack &&
                 aOne.mAtMs > mDeadlyCrashesMs[last] + kContactMs;
        }));
    }
    for (const Seen& shared : mShared) {
      if (shared.mAtMs > mDeadlyCrashesMs[last] + 2 * kContactMs) {
        ++mResult.mShared;
        mResult.mSharedHeldBack += shared.mHeldBack ? 1 : 0;
      }
    }
    return mResult;
  }

  const PartSimulationOptions mOptions;
  std::mt19937 mRandom;
  std::vector<Entry> mEntries;
  QuarantineLeader mLeader;
  QuarantineTable mTable;
  std::vector<int> mIncarnations;
  std::vector<int> mUpFrom;
  std::vector<Running> mRunning;
  std::multimap<int, std::function<void()>> mMessages;
  std::vector<int> mDeadlyCrashesMs;
  /** Held back means that the entry was not in touch. */
  std::vector<Seen> mArrivals;
  std::vector<Seen> mShared;
  std::uint64_t mUnique = 0;
  int mNowMs = 0;
  PartSimulationResult mResult;
};

} // namespace

PartSimulationResult
SimulateParts(const PartSimulationOptions& aOptions)
{
  return Simulation(aOptions).Run();
}

} // namespace peridotspool::routing
