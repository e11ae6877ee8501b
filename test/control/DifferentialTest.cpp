// ctest-labels: promise-config promise-state-survives promise-fencing
#include "control/ControlCluster.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>

namespace peridotspool::control {

namespace {

constexpr const char* kAll[] = { "control-1", "control-2", "control-3" };

/** An edit that an operator sent once or several times. */
struct SentEdit
{
  EditRequest mRequest;
  std::vector<CallId> mCalls;
  /** The latest revision known to be committed when the edit was first sent. */
  Revision mKnownBefore;
};

/** A random run of the system and the responses that its operators received. */
class RandomRun
{
public:
  explicit RandomRun(std::uint64_t aSeed);

  void Disturb();
  void SendEdit();
  void Settle();
  /** Compares the responses with a single list of edits. */
  std::vector<std::string> Differences();

  ControlCluster mCluster;
  std::vector<std::string> mTrace;

private:
  const char* Any();
  void LoseOneDisk();
  Revision KnownCommitted() const;
  std::vector<EditResponse> AnswersTo(const SentEdit& aEdit) const;
  void CompareAnswers(const SentEdit& aEdit,
                      const std::vector<SettingsChange>& aList,
                      std::vector<std::string>& aDifferences) const;

  std::vector<SentEdit> mEdits;
};

RandomRun::RandomRun(std::uint64_t aSeed)
  : mCluster(aSeed)
{
  mCluster.mTune = [](ControlOptions& aOptions) {
    aOptions.mSnapshotEvery = 15;
    aOptions.mConsensus.mEntriesRetainedBehindSnapshot = 4;
  };
  mCluster.mFaults.mMaxSync = std::chrono::milliseconds(20);
  mCluster.StartControls(3);
  for (const char* name : { "entry-1", "entry-2" }) {
    mCluster.AddEntry(name, name);
  }
  for (const char* name : kAll) {
    const double rate = 1.0 + 0.0001 * *rc::gen::inRange(-100, 101);
    mCluster.SetClock(name, std::chrono::seconds(1000), rate);
  }
}

const char*
RandomRun::Any()
{
  return kAll[*rc::gen::inRange(0, 3)];
}

void
RandomRun::Disturb()
{
  const std::string name = Any();
  const int kind = *rc::gen::inRange(0, 9);
  mTrace.push_back(name + " " + std::to_string(kind));
  switch (kind) {
    case 0:
      mCluster.Crash(name);
      break;
    case 1:
    case 2:
      mCluster.Restart(name);
      break;
    case 3:
      mCluster.CutOff({ name, "entry-1" });
      break;
    case 4:
      mCluster.Heal();
      break;
    case 5:
      mCluster.Freeze(name);
      break;
    case 6:
      mCluster.Thaw(name);
      break;
    case 7:
      mCluster.mFaults.mLoss = 0.01 * *rc::gen::inRange(0, 30);
      mCluster.mFaults.mDuplication = 0.01 * *rc::gen::inRange(0, 30);
      mCluster.mFaults.mMaxDelay =
        std::chrono::milliseconds(*rc::gen::inRange(1, 120));
      break;
    default:
      LoseOneDisk();
      break;
  }
}

// A disk is lost only while a majority of the other replicas certainly has the
// log. With three replicas, one disk can be lost at a time.
void
RandomRun::LoseOneDisk()
{
  Settle();
  const std::string lost = Any();
  mTrace.push_back(lost + " loses its disk");
  mCluster.LoseDisk(lost);
  mCluster.Restart(lost);
}

void
RandomRun::SendEdit()
{
  const bool resend = !mEdits.empty() && *rc::gen::inRange(0, 3) == 0;
  if (!resend) {
    const Revision known = KnownCommitted();
    const auto back = *rc::gen::inRange<std::uint64_t>(0, 2);
    const std::string number = std::to_string(mEdits.size());
    mEdits.push_back(
      { .mRequest = { .mEdit = EditId("edit-" + number),
                      .mBase =
                        Revision(known.Value() - std::min(known.Value(), back)),
                      .mText = "same: 1\nvalue: " + number + "\n",
                      .mAuthor = "operator" },
        .mCalls = {},
        .mKnownBefore = known });
  }
  const std::size_t at = resend
                           ? *rc::gen::inRange<std::size_t>(0, mEdits.size())
                           : mEdits.size() - 1;
  mEdits[at].mCalls.push_back(mCluster.Ask(Any(), mEdits[at].mRequest));
  const std::string leader = mCluster.Leader();
  if (!leader.empty()) {
    mEdits[at].mCalls.push_back(mCluster.Ask(leader, mEdits[at].mRequest));
  }
}

void
RandomRun::Settle()
{
  mCluster.mFaults.mLoss = 0.0;
  mCluster.mFaults.mDuplication = 0.0;
  mCluster.mFaults.mMaxDelay = std::chrono::milliseconds(2);
  mCluster.Heal();
  for (const char* name : kAll) {
    mCluster.Thaw(name);
    if (!mCluster.Process(name).mRunning) {
      mCluster.Restart(name);
    }
  }
  mCluster.Run(std::chrono::seconds(3));
  const bool whole = mCluster.RunUntil([&] {
    const std::string leader = mCluster.Leader();
    if (leader.empty() || mCluster.Voters() != 3) {
      return false;
    }
    const ControlNode& node = *mCluster.Process(leader).mNode;
    return std::all_of(
      std::begin(kAll), std::end(kAll), [&](const char* aName) {
        const ControlNode& other = *mCluster.Process(aName).mNode;
        return node.Replicas().IsVoter(other.Self()) &&
               other.State() == node.State();
      });
  });
  RC_ASSERT(whole);
}

std::vector<EditResponse>
RandomRun::AnswersTo(const SentEdit& aEdit) const
{
  std::vector<EditResponse> answers;
  for (const CallId call : aEdit.mCalls) {
    const auto answer = mCluster.ResponseTo(call);
    if (answer && std::holds_alternative<EditResponse>(*answer)) {
      answers.push_back(std::get<EditResponse>(*answer));
    }
  }
  return answers;
}

Revision
RandomRun::KnownCommitted() const
{
  Revision known;
  for (const SentEdit& edit : mEdits) {
    for (const EditResponse& answer : AnswersTo(edit)) {
      known = std::max(known, answer.mRevision);
    }
  }
  return known;
}

void
RandomRun::CompareAnswers(const SentEdit& aEdit,
                          const std::vector<SettingsChange>& aList,
                          std::vector<std::string>& aDifferences) const
{
  const EditId& id = aEdit.mRequest.mEdit;
  const std::vector<EditResponse> answers = AnswersTo(aEdit);
  const auto differ = [&](const std::string& aWhat) {
    aDifferences.push_back(id.Value() + ": " + aWhat);
  };
  const auto place =
    std::find_if(aList.begin(), aList.end(), [&](const auto& aChange) {
      return aChange.mEdit == id;
    });
  for (const EditResponse& answer : answers) {
    if (answer != answers.front()) {
      differ("got two different answers");
    }
    if (answer.mVerdict == EditVerdict::kCommitted &&
        (place == aList.end() || place->mRevision != answer.mRevision)) {
      differ("was answered as committed, but is not in its place");
    }
    if (answer.mVerdict == EditVerdict::kConflict &&
        (place != aList.end() ||
         aList.at(answer.mRevision.Value() - 1).mEdit != answer.mWinner ||
         answer.mRevision != aEdit.mRequest.mBase.Next())) {
      differ("was told a wrong winner");
    }
  }
  if (place != aList.end() &&
      (place->mRevision <= aEdit.mKnownBefore ||
       place->mRevision != aEdit.mRequest.mBase.Next())) {
    differ("came before an edit that had been answered when it was sent");
  }
}

std::vector<std::string>
RandomRun::Differences()
{
  const OperatorResponse answer =
    mCluster.RequestFromLeader(HistoryRequest{ .mLimit = 100000 });
  std::vector<SettingsChange> list = std::get<HistoryResponse>(answer).mChanges;
  std::reverse(list.begin(), list.end());
  std::vector<std::string> differences = mCluster.Problems();
  std::string text;
  for (std::size_t at = 0; at < list.size(); ++at) {
    LastReason reason;
    text =
      ApplyDelta(text, list[at].mDelta.value(), reason).value_or("no text");
    const auto sent =
      std::find_if(mEdits.begin(), mEdits.end(), [&](const SentEdit& aEdit) {
        return aEdit.mRequest.mEdit == list[at].mEdit;
      });
    if (list[at].mRevision != Revision(at + 1) || sent == mEdits.end() ||
        sent->mRequest.mText != text) {
      differences.push_back("revision " + std::to_string(at + 1) +
                            " is not what was sent");
    }
  }
  for (const SentEdit& edit : mEdits) {
    CompareAnswers(edit, list, differences);
  }
  return differences;
}

} // namespace

// Compares the replicated log and the settings service with a single list of
// edits under message loss, duplication and reordering, crashes that preserve
// only synced data (and some unsynced data), partitions, frozen processes, lost
// disks, and clocks with different rates.
TEST_CASE("ReplicatedSettingsMatchASingleListUnderFaults")
{
  rc::prop("operators can't tell the system from one list", [] {
    RandomRun run(*rc::gen::arbitrary<std::uint64_t>());
    const int steps = *rc::gen::inRange(10, 60);
    for (int step = 0; step < steps; ++step) {
      if (*rc::gen::inRange(0, 3) == 0) {
        run.Disturb();
      } else {
        run.SendEdit();
      }
      run.mCluster.Run(std::chrono::milliseconds(*rc::gen::inRange(1, 600)));
    }
    run.Settle();
    const std::vector<std::string> differences = run.Differences();
    RC_LOG() << (differences.empty() ? "" : differences.front());
    RC_ASSERT(differences.empty());
  });
}

} // namespace peridotspool::control
