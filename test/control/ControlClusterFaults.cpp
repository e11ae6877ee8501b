// Faults and operators of the simulated cluster.

#include "control/ControlCluster.h"

#include <algorithm>

namespace peridotspool::control {

bool
ControlCluster::ReplaceLeader()
{
  const std::string before = Leader();
  Crash(before);
  return RunUntil([&] { return !Leader().empty() && Leader() != before; });
}

bool
ControlCluster::RestartControls()
{
  for (auto& [name, process] : mProcesses) {
    if (process.mNode) {
      Crash(name);
      Restart(name);
    }
  }
  return RunUntil([&] { return !Leader().empty(); });
}

void
ControlCluster::Crash(const std::string& aName)
{
  ClusterProcess& process = Process(aName);
  // Some of the pending writes may have reached the disk, in their order.
  const std::size_t reached = mRandom() % (process.mUnsynced.size() + 1);
  for (std::size_t write = 0; write < reached; ++write) {
    ApplyPersist(process.mDisk, process.mUnsynced[write]);
  }
  process.mUnsynced.clear();
  process.mRunning = false;
  process.mFrozen = false;
  ++process.mIncarnation;
}

void
ControlCluster::Restart(const std::string& aName)
{
  ClusterProcess& process = Process(aName);
  if (process.mRunning) {
    Crash(aName);
  }
  if (process.mNode) {
    StartControl(process);
  } else {
    StartEntry(process);
  }
}

void
ControlCluster::LoseDisk(const std::string& aName)
{
  Crash(aName);
  Process(aName).mDisk = RestoredState{};
}

void
ControlCluster::Freeze(const std::string& aName)
{
  Process(aName).mFrozen = true;
}

void
ControlCluster::Thaw(const std::string& aName)
{
  ClusterProcess& process = Process(aName);
  process.mFrozen = false;
  for (auto& action : std::exchange(process.mBacklog, {})) {
    Schedule(aName, Duration(0), std::move(action));
  }
}

void
ControlCluster::CutOff(const std::set<std::string>& aNames)
{
  mCut = aNames;
}

void
ControlCluster::CutLink(const std::string& aOne, const std::string& aOther)
{
  mCutLinks.insert({ aOne, aOther });
  mCutLinks.insert({ aOther, aOne });
}

void
ControlCluster::Heal()
{
  mCut.clear();
  mCutLinks.clear();
}

void
ControlCluster::SetClock(const std::string& aName,
                         Duration aOffset,
                         double aRate)
{
  Process(aName).mOffset = aOffset;
  Process(aName).mRate = aRate;
}

CallId
ControlCluster::Ask(const std::string& aName, OperatorRequest aRequest)
{
  mLastCall = mLastCall.Next();
  const CallId call = mLastCall;
  Schedule(
    aName, Duration(0), [this, aName, call, request = std::move(aRequest)] {
      StepNode(mProcesses[aName], OperatorEvent{ call, request });
    });
  return call;
}

std::optional<OperatorResponse>
ControlCluster::ResponseTo(CallId aCall) const
{
  const auto found = mAnswers.find(aCall);
  return found == mAnswers.end() ? std::nullopt : std::optional(found->second);
}

OperatorResponse
ControlCluster::RequestFromLeader(const OperatorRequest& aRequest)
{
  constexpr int kTries = 50;
  for (int attempt = 0; attempt < kTries; ++attempt) {
    RunUntil([&] { return !Leader().empty(); });
    const std::string leader = Leader();
    if (leader.empty()) {
      break;
    }
    const CallId call = Ask(leader, aRequest);
    RunUntil([&] { return ResponseTo(call).has_value(); },
             std::chrono::seconds(10));
    const auto answer = ResponseTo(call);
    if (answer && !std::holds_alternative<NotLeaderResponse>(*answer) &&
        !std::holds_alternative<UncertainResponse>(*answer)) {
      return *answer;
    }
    Run(std::chrono::milliseconds(100));
  }
  return RefusedResponse{ "the test got no answer" };
}

EditResponse
ControlCluster::Edit(const std::string& aEdit,
                     std::uint64_t aBase,
                     const std::string& aText)
{
  const OperatorResponse answer =
    RequestFromLeader(EditRequest{ .mEdit = EditId(aEdit),
                                   .mBase = Revision(aBase),
                                   .mText = aText,
                                   .mAuthor = "operator" });
  const auto* edit = std::get_if<EditResponse>(&answer);
  return edit == nullptr ? EditResponse{} : *edit;
}

ClusterProcess&
ControlCluster::Process(const std::string& aName)
{
  return mProcesses.at(aName);
}

std::string
ControlCluster::Leader() const
{
  for (const auto& [name, process] : mProcesses) {
    if (process.mRunning && !process.mFrozen && process.mNode &&
        process.mNode->Leads(LocalNow(process))) {
      return name;
    }
  }
  return {};
}

std::size_t
ControlCluster::Voters() const
{
  const std::string leader = Leader();
  return leader.empty() ? 0
                        : mProcesses.at(leader).mNode->Replicas().VoterCount();
}

bool
ControlCluster::AllEntriesAt(Revision aRevision) const
{
  return std::all_of(
    mProcesses.begin(), mProcesses.end(), [&](const auto& aPair) {
      const ClusterProcess& process = aPair.second;
      return !process.mSession || !process.mRunning ||
             process.mSession->InForceRevision() >= aRevision;
    });
}

} // namespace peridotspool::control
