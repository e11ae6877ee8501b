#include "soak/SoakChecks.h"

#include "soak/SoakAnswers.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

namespace peridotspool::soak {

namespace {

constexpr std::size_t kMostSentences = 20;
/** What a caller is told whose request is held to end upstreams. */
constexpr std::string_view kBlame = "upstreams end under requests like this";

/** Work on one record; each member function checks one promise. */
class Checker
{
public:
  Checker(const Record& aRecord, const CheckOptions& aOptions)
    : mRecord(aRecord)
    , mOptions(aOptions)
  {
    for (const SeenRun& run : mRecord.mRuns) {
      mRuns[run.mId].push_back(&run);
    }
  }

  std::vector<std::string> Run()
  {
    CheckAnswers();
    CheckRuns();
    CheckStrangers();
    CheckBlame();
    CheckRegress();
    CheckInForce();
    CheckReads();
    CheckChanges();
    CheckDrains();
    CheckPlannedStops();
    CheckDuties();
    CheckService();
    for (const std::string& one : mRecord.mOwnEnds) {
      Say("a process ended by itself: " + one);
    }
    return mSentences;
  }

private:
  void Say(const std::string& aSentence)
  {
    if (mSentences.size() < kMostSentences) {
      mSentences.push_back(aSentence);
    }
  }

  /** Nothing was done to the system in the time before, until then. */
  bool IsCalm(Time aFrom, Time aTo) const
  {
    return std::none_of(
      mRecord.mSpans.begin(), mRecord.mSpans.end(), [&](const Span& aSpan) {
        return aSpan.mFrom <= aTo && aSpan.mTo + mOptions.mSettle >= aFrom;
      });
  }

  std::size_t RunsOf(const std::string& aId) const
  {
    const auto found = mRuns.find(aId);
    return found == mRuns.end() ? 0 : found->second.size();
  }

  // A success is the request's own answer, whole, and bears its proof.
  void CheckAnswers()
  {
    for (const SeenRequest& one : mRecord.mRequests) {
      if (one.mEnding != Ending::kAnswered || one.mStatus != 200) {
        continue;
      }
      const std::string fault = FaultOfAnswer(one.mKind, one.mId, one.mBody);
      if (!fault.empty()) {
        Say("request " + one.mId + " (" + NameOf(one.mKind) +
            ") got a success that is not its whole own answer: " + fault);
      }
      if (!one.mHasProof) {
        Say("request " + one.mId + " got a success without proof");
      }
      if (RunsOf(one.mId) == 0) {
        Say("request " + one.mId + " got a success and ran nowhere");
      }
    }
  }

  // At most once; and what was refused as not run did not run.
  void CheckRuns()
  {
    for (const SeenRequest& one : mRecord.mRequests) {
      const std::size_t runs = RunsOf(one.mId);
      const std::size_t most = MayRepeat(one.mKind) ? mOptions.mMaxAttempts : 1;
      if (runs > most) {
        Say("request " + one.mId + " (" + NameOf(one.mKind) + ") ran " +
            std::to_string(runs) + " times, at most " + std::to_string(most) +
            " are allowed");
      }
      const bool refused = one.mEnding == Ending::kAnswered &&
                           (one.mStatus == 503 || one.mStatus == 429 ||
                            one.mStatus == 408 || one.mStatus == 421);
      if (refused && !MayRepeat(one.mKind) && runs > 0) {
        Say("request " + one.mId + " was refused as not run with " +
            std::to_string(one.mStatus) + " and ran");
      }
      if (refused && one.mStatus == 503 && !one.mHasRetryAfter) {
        Say("request " + one.mId + " was not told when to come back");
      }
    }
  }

  // Nothing runs that nobody sent, or where it does not belong.
  void CheckStrangers()
  {
    std::map<std::string, Kind> kinds;
    for (const SeenRequest& one : mRecord.mRequests) {
      kinds.emplace(one.mId, one.mKind);
    }
    for (const SeenRun& run : mRecord.mRuns) {
      const auto found = kinds.find(run.mId);
      if (found == kinds.end()) {
        Say("an upstream ran a request that no caller sent: " + run.mId);
      } else if (run.mService != NameOf(found->second)) {
        Say("request " + run.mId + " (" + NameOf(found->second) +
            ") ran at an upstream of " + run.mService);
      }
    }
  }

  // All callers ask for the same few contents, and upstreams end because
  // somebody ends them: no content is to blame.
  void CheckBlame()
  {
    for (const SeenRequest& one : mRecord.mRequests) {
      if (one.mBody.find(kBlame) != std::string::npos) {
        Say("request " + one.mId + " (" + NameOf(one.mKind) +
            ") was refused for ending upstreams, and ends none");
      }
    }
  }

  // In one life of an entry's process versions only rise.
  void CheckRegress()
  {
    std::map<std::pair<int, int>, std::vector<const SeenVersion*>> lives;
    for (const SeenVersion& one : mRecord.mInForce) {
      lives[{ one.mMachine, one.mLife }].push_back(&one);
    }
    for (const auto& [life, seen] : lives) {
      for (const SeenVersion* later : seen) {
        for (const SeenVersion* earlier : seen) {
          if (earlier->mAnsweredAt <= later->mSentAt &&
              later->mVersion < earlier->mVersion) {
            Say("entry " + std::to_string(life.first) + " went back from " +
                std::to_string(earlier->mVersion) + " to " +
                std::to_string(later->mVersion));
            return;
          }
        }
      }
    }
  }

  std::uint64_t NewestAckedAt(Time aWhen) const
  {
    std::uint64_t newest = 0;
    for (const SeenChange& change : mRecord.mChanges) {
      if (change.mValid && change.mAckedAt && *change.mAckedAt <= aWhen) {
        newest = std::max(newest, change.mVersion);
      }
    }
    return newest;
  }

  void CheckInForce()
  {
    for (const SeenVersion& one : mRecord.mInForce) {
      const std::uint64_t due = NewestAckedAt(one.mSentAt - mOptions.mApply);
      if (one.mVersion < due &&
          IsCalm(one.mSentAt - mOptions.mApply, one.mAnsweredAt)) {
        Say("entry " + std::to_string(one.mMachine) + " worked by version " +
            std::to_string(one.mVersion) + " though " + std::to_string(due) +
            " was acknowledged long before");
      }
    }
  }

  // Whatever happens: what is read back is not older than what was
  // acknowledged.
  void CheckReads()
  {
    bool readAtTheEnd = false;
    for (const SeenVersion& one : mRecord.mRead) {
      const std::uint64_t due = NewestAckedAt(one.mSentAt - mOptions.mApply);
      if (one.mVersion < due) {
        Say("version " + std::to_string(one.mVersion) + " was read back at " +
            std::to_string(one.mMachine) + ", " + std::to_string(due) +
            " was acknowledged before");
      }
      readAtTheEnd =
        readAtTheEnd || one.mSentAt >= mRecord.mCalmSince + mOptions.mSettle;
    }
    if (!readAtTheEnd) {
      Say("no configuration could be read back at the end");
    }
  }

  void CheckChanges()
  {
    std::set<std::uint64_t> valid;
    for (const SeenChange& change : mRecord.mChanges) {
      if (change.mValid) {
        valid.insert(change.mVersion);
      }
    }
    for (const SeenChange& change : mRecord.mChanges) {
      if (!change.mValid && change.mAckedAt) {
        Say("an invalid configuration was acknowledged: " +
            std::to_string(change.mVersion));
      }
      if (change.mValid && change.mRefused) {
        Say("a valid configuration was refused: " +
            std::to_string(change.mVersion));
      }
    }
    for (const auto* seen : { &mRecord.mInForce, &mRecord.mRead }) {
      for (const SeenVersion& one : *seen) {
        if (!valid.contains(one.mVersion)) {
          Say("version " + std::to_string(one.mVersion) +
              " is in force, which was never sent as valid");
        }
      }
    }
  }

  void CheckDrains()
  {
    for (const SeenDrain& drain : mRecord.mDrains) {
      for (const SeenRun& run : mRecord.mRuns) {
        if (run.mUpstream == drain.mUpstream &&
            run.mAt > drain.mAckedAt + mOptions.mDrain &&
            IsCalm(drain.mAckedAt, run.mAt)) {
          Say("upstream " + drain.mUpstream + " got request " + run.mId +
              " long after it had said that it leaves");
        }
      }
    }
  }

  // A planned stop alone cuts nothing.
  void CheckPlannedStops()
  {
    for (const Span& stop : mRecord.mSpans) {
      if (stop.mStoppedMachine == 0) {
        continue;
      }
      const bool alone = std::none_of(
        mRecord.mSpans.begin(), mRecord.mSpans.end(), [&](const Span& aOther) {
          return &aOther != &stop && aOther.mFrom <= stop.mTo &&
                 aOther.mTo + mOptions.mSettle >= stop.mFrom;
        });
      for (const SeenRequest& one : mRecord.mRequests) {
        const bool meanwhile =
          one.mSentAt >= stop.mFrom - Ms(1000) && one.mEndedAt <= stop.mTo;
        if (alone && meanwhile && one.mMachine == stop.mStoppedMachine &&
            one.mEnding == Ending::kCut && RunsOf(one.mId) > 0) {
          Say("the planned stop of machine " +
              std::to_string(stop.mStoppedMachine) + " cut request " + one.mId);
        }
      }
    }
  }

  // One count for each window, and one holder for each fencing number.
  void CheckDuties()
  {
    std::map<std::string, std::string> counts;
    std::map<std::uint64_t, std::string> holders;
    for (const SeenDuty& duty : mRecord.mDuties) {
      const auto holder = holders.emplace(duty.mFence, duty.mHolder).first;
      if (holder->second != duty.mHolder) {
        Say("two holders gave orders under fencing number " +
            std::to_string(duty.mFence));
      }
      const std::string window = WindowOf(duty.mBody);
      if (duty.mPath == "/usage") {
        const auto count = counts.emplace(window, duty.mBody).first;
        if (count->second != duty.mBody) {
          Say("usage of window " + window +
              " was told in two ways: " + count->second + " and " + duty.mBody);
        }
      }
    }
  }

  // After all is over the system serves again.
  void CheckService()
  {
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const SeenRequest& one : mRecord.mRequests) {
      if (one.mSentAt >= mRecord.mCalmSince + mOptions.mSettle &&
          one.mSentAt <= mRecord.mEnd) {
        ++sent;
        served +=
          one.mEnding == Ending::kAnswered && one.mStatus == 200 ? 1 : 0;
      }
    }
    if (sent == 0 || static_cast<double>(served) <
                       mOptions.mServedAtTheEnd * static_cast<double>(sent)) {
      Say("of " + std::to_string(sent) +
          " requests in the calm at the end only " + std::to_string(served) +
          " were served");
    }
  }

  const Record& mRecord;
  const CheckOptions& mOptions;
  std::map<std::string, std::vector<const SeenRun*>> mRuns;
  std::vector<std::string> mSentences;
};

} // namespace

std::vector<std::string>
Check(const Record& aRecord, const CheckOptions& aOptions)
{
  return Checker(aRecord, aOptions).Run();
}

} // namespace peridotspool::soak
