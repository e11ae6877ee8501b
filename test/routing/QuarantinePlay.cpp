#include "routing/QuarantinePlay.h"

#include "peridotspool/routing/CrashReporter.h"
#include "peridotspool/routing/QuarantineBank.h"
#include "peridotspool/routing/QuarantineGate.h"

#include <functional>
#include <map>
#include <random>
#include <vector>

namespace peridotspool::routing {

namespace {

constexpr int kUpstreams = 40;
constexpr int kStepMs = 5;
constexpr int kPlayMs = 60000;
constexpr int kDownMs = 2000;
/** One way, with the receiver's turn. */
constexpr int kMessageMs = 10;
/** From a lost answer to the refused connection. */
constexpr int kWitnessMs = 5;
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

class Play
{
public:
  explicit Play(QuarantinePlayOptions aQuarantinePlayOptions)
    : mQuarantinePlayOptions(aQuarantinePlayOptions)
    , mRandom(aQuarantinePlayOptions.mSeed)
    , mEntries(static_cast<std::size_t>(aQuarantinePlayOptions.mEntries))
    , mLives(kUpstreams, 0)
    , mUpFrom(kUpstreams, 0)
  {
  }

  QuarantinePlayOutcome Run()
  {
    for (mMs = 0; mMs < kPlayMs; mMs += kStepMs) {
      EndUpstreams();
      Deliver();
      FinishRuns();
      SendRequests();
      TickProcesses();
    }
    return mOutcome;
  }

private:
  struct Entry
  {
    QuarantineGate mGate;
    CrashReporter mCrashes;
    /** Requests that wait at the gate. */
    std::map<std::uint64_t, std::uint64_t> mWaiting;
  };
  struct Running
  {
    std::size_t mEntry = 0;
    std::uint64_t mContent = 0;
    std::size_t mUpstream = 0;
    int mLife = 0;
    int mSentMs = 0;
    int mEndMs = 0;
    std::uint64_t mTurn = 0;
  };

  bool Chance(int aEachMs)
  {
    return aEachMs > 0 &&
           static_cast<int>(mRandom() % static_cast<unsigned>(aEachMs)) <
             kStepMs;
  }
  bool IsUp(std::size_t aUpstream) const { return mUpFrom[aUpstream] <= mMs; }
  void After(int aMs, std::function<void()> aCall)
  {
    mMessages.emplace(mMs + aMs, std::move(aCall));
  }
  static Address AddressOf(std::size_t aEntry)
  {
    return { "entry", static_cast<std::uint16_t>(aEntry) };
  }

  void End(std::size_t aUpstream)
  {
    if (!IsUp(aUpstream)) {
      return;
    }
    ++mOutcome.mEnds;
    ++mLives[aUpstream];
    mUpFrom[aUpstream] = mMs + kDownMs;
  }

  void EndUpstreams()
  {
    if (mQuarantinePlayOptions.mMassEachMs > 0 &&
        mMs % mQuarantinePlayOptions.mMassEachMs == 0) {
      for (std::size_t i = 0; i < kUpstreams; i += 2) {
        After(static_cast<int>(mRandom() % 100), [this, i] { End(i); });
      }
    }
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      if (Chance(mQuarantinePlayOptions.mEndsEachMs)) {
        End(i);
      }
    }
  }

  void Deliver()
  {
    while (!mMessages.empty() && mMessages.begin()->first <= mMs) {
      const auto call = std::move(mMessages.begin()->second);
      mMessages.erase(mMessages.begin());
      call();
    }
  }

  void SendRequests()
  {
    for (std::size_t entry = 0; entry < mEntries.size(); ++entry) {
      if (Chance(mQuarantinePlayOptions.mEachMs)) {
        const bool popular = mRandom() % 2 == 0;
        Arrive(entry, popular ? mRandom() % kPopular : ++mLastUnique);
      }
    }
    if (Chance(mQuarantinePlayOptions.mDeadlyEachMs)) {
      Arrive(mRandom() % mEntries.size(), kDeadly);
    }
  }

  void Arrive(std::size_t aEntry, std::uint64_t aContent)
  {
    Entry& entry = mEntries[aEntry];
    ++mOutcome.mSent;
    const GateAnswer answer = entry.mGate.Ask(
      { .mLow = aContent }, std::chrono::milliseconds(kDeadlineMs), At(mMs));
    if (answer.mOutcome == GateOutcome::kWaits) {
      entry.mWaiting[answer.mTag] = aContent;
      AskTurn(aEntry, answer.mAsk);
    } else {
      GoOn(aEntry, aContent, answer.mOutcome, 0);
    }
  }

  void AskTurn(std::size_t aEntry, const TurnAsk& aAsk)
  {
    After(kMessageMs, [this, aEntry, aAsk] {
      const TurnAnswer answer =
        mBank.Take(AddressOf(aEntry), aAsk, mTable, At(mMs));
      After(kMessageMs, [this, aEntry, answer] {
        if (const auto decided = mEntries[aEntry].mGate.Take(answer)) {
          Decide(aEntry, *decided);
        }
      });
    });
  }

  void Decide(std::size_t aEntry, const GateDecided& aDecided)
  {
    auto& waiting = mEntries[aEntry].mWaiting;
    const auto found = waiting.find(aDecided.mTag);
    if (found != waiting.end()) {
      const std::uint64_t content = found->second;
      waiting.erase(found);
      const bool turn = aDecided.mOutcome == GateOutcome::kHasTurn;
      GoOn(aEntry, content, aDecided.mOutcome, turn ? aDecided.mTag : 0);
    }
  }

  void GoOn(std::size_t aEntry,
            std::uint64_t aContent,
            GateOutcome aOutcome,
            std::uint64_t aTurn)
  {
    if (aOutcome == GateOutcome::kRefused ||
        aOutcome == GateOutcome::kTooLate) {
      if (aContent != kDeadly) {
        ++(aOutcome == GateOutcome::kRefused ? mOutcome.mRefused
                                             : mOutcome.mNoTurn);
      }
      return;
    }
    std::size_t upstream = mRandom() % kUpstreams;
    for (int i = 0; i < kUpstreams && !IsUp(upstream); ++i) {
      upstream = (upstream + 1) % kUpstreams;
    }
    if (aContent == kDeadly) {
      ++mOutcome.mDeadlySent;
      mOutcome.mDeadlyLate +=
        mDeadlyEnds >= 3 && mMs > mThirdEndMs + 3000 ? 1 : 0;
    }
    const int run = aContent == kDeadly ? kDeadlyRunMs : kRunMs;
    mRunning.push_back({ .mEntry = aEntry,
                         .mContent = aContent,
                         .mUpstream = upstream,
                         .mLife = mLives[upstream],
                         .mSentMs = mMs,
                         .mEndMs = mMs + run,
                         .mTurn = aTurn });
  }

  void FinishRuns()
  {
    for (const Running& run : mRunning) {
      const bool ends = run.mContent == kDeadly && run.mEndMs <= mMs &&
                        run.mLife == mLives[run.mUpstream];
      if (ends) {
        End(run.mUpstream);
        mThirdEndMs = ++mDeadlyEnds == 3 ? mMs : mThirdEndMs;
      }
    }
    std::vector<Running> still;
    for (const Running& run : mRunning) {
      if (run.mLife != mLives[run.mUpstream]) {
        Lose(run);
      } else if (run.mEndMs > mMs) {
        still.push_back(run);
      } else {
        Answer(run);
      }
    }
    mRunning = std::move(still);
  }

  // The caller of a request that was lost sends it again.
  void Lose(const Running& aRun)
  {
    Entry& entry = mEntries[aRun.mEntry];
    entry.mGate.Lost(aRun.mTurn, At(mMs));
    const EndedLife ended{
      .mLife = { .mName = UpstreamName(std::to_string(aRun.mUpstream)),
                 .mIncarnation =
                   Incarnation(static_cast<std::uint64_t>(aRun.mLife) + 1) },
      .mLost = { { .mContent = { .mLow = aRun.mContent },
                   .mSentAt = At(aRun.mSentMs),
                   .mLostAt = At(mMs),
                   .mHadTurn = aRun.mTurn != 0 } }
    };
    After(kWitnessMs, [this, at = aRun.mEntry, ended] {
      mEntries[at].mCrashes.Add(ended);
    });
    if (aRun.mContent != kDeadly) {
      const std::size_t next = mRandom() % mEntries.size();
      After(100,
            [this, next, content = aRun.mContent] { Arrive(next, content); });
    }
  }

  void Answer(const Running& aRun)
  {
    Entry& entry = mEntries[aRun.mEntry];
    const ContentId content{ .mLow = aRun.mContent };
    if (const auto ended = entry.mGate.Answered(aRun.mTurn, content, At(mMs))) {
      TellEnded(aRun.mEntry, *ended);
    }
  }

  void TellEnded(std::size_t aEntry, const TurnEnded& aEnded)
  {
    After(kMessageMs, [this, aEntry, aEnded] {
      mBank.Take(AddressOf(aEntry), aEnded, At(mMs));
    });
  }

  void CarryOut(std::size_t aEntry, const GateTick& aTick)
  {
    for (const TurnAsk& ask : aTick.mAsks) {
      AskTurn(aEntry, ask);
    }
    for (const TurnEnded& ended : aTick.mEnded) {
      TellEnded(aEntry, ended);
    }
    for (const GateDecided& decided : aTick.mDecided) {
      Decide(aEntry, decided);
    }
  }

  void TickProcesses()
  {
    for (std::size_t i = 0; i < mEntries.size(); ++i) {
      Entry& entry = mEntries[i];
      if (auto report = entry.mCrashes.Report(At(mMs))) {
        After(kMessageMs, [this, i, report] {
          const auto taken = mBank.Take(AddressOf(i), *report, mTable, At(mMs));
          mEntries[i].mCrashes.Take(taken);
        });
      }
      if (mMs % 50 == 0) {
        CarryOut(i, entry.mGate.Tick(At(mMs)));
      }
    }
    if (mMs % 100 == 0) {
      for (const QuarantineChange& change : mBank.Due(mTable, At(mMs))) {
        mTable.Apply(change);
      }
      for (std::size_t i = 0; i < mEntries.size(); ++i) {
        const auto told = mTable.Since(mEntries[i].mGate.Known());
        After(kMessageMs, [this, i, told] {
          CarryOut(i, mEntries[i].mGate.Take(told, At(mMs)));
        });
      }
    }
  }

  const QuarantinePlayOptions mQuarantinePlayOptions;
  std::mt19937 mRandom;
  std::vector<Entry> mEntries;
  QuarantineBank mBank;
  QuarantineTable mTable;
  std::vector<int> mLives;
  std::vector<int> mUpFrom;
  std::vector<Running> mRunning;
  std::multimap<int, std::function<void()>> mMessages;
  std::uint64_t mLastUnique = kFirstUnique;
  int mMs = 0;
  int mDeadlyEnds = 0;
  int mThirdEndMs = 0;
  QuarantinePlayOutcome mOutcome;
};

} // namespace

QuarantinePlayOutcome
PlayQuarantine(const QuarantinePlayOptions& aOptions)
{
  return Play(aOptions).Run();
}

} // namespace peridotspool::routing
